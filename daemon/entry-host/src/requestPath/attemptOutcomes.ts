// What follows from the end of one send: relay, another send, or an account.
import { decideRetry, RetryCause } from '@siskinbeam/retries/decideRetry'
import { AdmissionEventKind } from '@siskinbeam/admission/admissionTypes'
import { CrashEventKind } from '@siskinbeam/crash-suspects/crashTypes'
import { recordRequestLatency } from '@siskinbeam/hedging/decideHedge'
import { ReportSource } from '@siskinbeam/probing/loadReport'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { ChoiceEventKind, CompletionKind } from '@siskinbeam/server-choice/choiceState'
import { HealthEventKind } from '@siskinbeam/server-health/healthState'
import { checkServerDeath } from '../servers/checkServerDeath.js'
import { feedChoice, feedHealth, noteReport, noteShed, readSigns } from '../servers/observeServers.js'
import type { Account } from './account.js'
import { feedAdmission, readClassRank } from './admitRequest.js'
import { cancelOpen } from './cancelOpen.js'
import { failRequest, schedule, type Dispatch, type OpenAttempt } from './dispatchState.js'
import { keepAnswer } from './keepAnswer.js'
import { AnswerEnd, relayAnswer } from './relayAnswer.js'
import { AttemptEnd, type AttemptOutcome } from './sendAttempt.js'

type OutcomeHandlers = {
  [Kind in AttemptEnd]: (dispatch: Dispatch, open: OpenAttempt, outcome: Extract<AttemptOutcome, { kind: Kind }>) => void
}

const lowestServerError = 500

/** Handles the end of one send. */
export function handleOutcome (dispatch: Dispatch, open: OpenAttempt, outcome: AttemptOutcome): void {
  const handle = outcomeHandlers[outcome.kind] as (dispatch: Dispatch, open: OpenAttempt, outcome: AttemptOutcome) => void
  handle(dispatch, open, outcome)
}

const outcomeHandlers: OutcomeHandlers = {
  [AttemptEnd.Answered]: (dispatch, open, { answer }) => {
    const { exchange, host, service } = dispatch
    const { server } = open
    host.metrics.recordMilliseconds('server_milliseconds', host.now() - open.writtenAt)
    const kept = exchange.claim === undefined ? undefined : keepAnswer(answer)
    dispatch.answered = true
    cancelOpen(dispatch)
    relayAnswer({
      exchange,
      answer,
      keepReading: kept !== undefined,
      ...(kept === undefined ? {} : { onChunk: kept.add }),
      onEnd: end => {
        answerEnds[end](dispatch, open)
        if (end === AnswerEnd.Whole) {
          // The report no longer counts this request, so it comes after its completion.
          noteReport(host, service, server, answer, ReportSource.Response)
          feedHealth(host, service, (answer.statusCode ?? 0) >= lowestServerError
            ? { kind: HealthEventKind.Failed, server: server.place.name, signs: readSigns(answer) }
            : { kind: HealthEventKind.Responded, server: server.place.name, signs: readSigns(answer), latencyMilliseconds: Math.max(0, host.now() - open.startedAt - server.roundTripMilliseconds) })
          exchange.claim?.answered(answer.statusCode ?? 502, kept?.headers() ?? {}, kept?.body() ?? null)
        } else {
          exchange.claim?.sendFailed(ResultCode.AnswerTruncated)
        }
      }
    })
  },
  [AttemptEnd.NotStarted]: (dispatch, open, { reason, answer }) => {
    const { exchange, host, service } = dispatch
    exchange.provablyNotStarted += 1
    if (answer === undefined) noteUnreached(dispatch, open, reason)
    else noteShed(host, service, open.server, answer)
    if (open.written) exchange.claim?.notStarted()
    if (exchange.finished || dispatch.answered) return
    // A server that leaves refuses whatever its load.
    if (answer !== undefined && !readSigns(answer).draining) feedAdmission(host, service, { kind: AdmissionEventKind.Shed, requestId: exchange.number, resends: true, refusalOutcome: Outcome.NotRun })
    const refusal = {
      code: ResultCode.ServersRefused, message: `the last server tried did not start the request: ${reason}`, retryAfterMilliseconds: 1_000
    }
    // Without a key, nothing but the word of the server says that it did not run, so it is written once.
    if (open.written && exchange.route?.idempotent === false && exchange.key === undefined) return failRequest(dispatch, refusal)
    tryAgain(dispatch, RetryCause.NotStarted, refusal)
  },
  [AttemptEnd.Broken]: (dispatch, open, { reason, reused }) => {
    const { host, service } = dispatch
    if (reused) dispatch.brokenReuse.add(open.server.place.name)
    endFailed(dispatch, open)
    // Guests resend what failed, so hosts hear of a dead server before the guest does.
    checkServerDeath(host, service, open).then(() => tryAgain(dispatch, RetryCause.Failed, {
      code: ResultCode.ServerFailedAfterSend, message: `the connection to the server broke: ${reason}`, outcome: Outcome.Unknown
    })).catch(error => host.logger.error('retry failed', { request: dispatch.exchange.requestId, reason: String(error) }))
  },
  [AttemptEnd.Malformed]: (dispatch, open, { reason }) => {
    endFailed(dispatch, open)
    dispatch.host.logger.warn('answer malformed', { request: dispatch.exchange.requestId, server: open.server.place.name, reason })
    tryAgain(dispatch, RetryCause.Failed, { code: ResultCode.AnswerMalformed, message: reason, outcome: Outcome.Unknown })
  }
}

const answerEnds: Record<AnswerEnd, (dispatch: Dispatch, open: OpenAttempt) => void> = {
  [AnswerEnd.Whole]: ({ exchange, host, service, fingerprint }, { server, startedAt }) => {
    const latencyMilliseconds = host.now() - startedAt
    exchange.answeredWhole = true
    feedChoice(host, service, { kind: ChoiceEventKind.Completed, server: server.place.name, completion: CompletionKind.Responded, latencyMilliseconds })
    recordRequestLatency(service.hedging, latencyMilliseconds)
    host.feedCrashes({ kind: CrashEventKind.Finished, fingerprint: fingerprint() })
    host.metrics.count('answers_total')
    host.metrics.recordMilliseconds('answer_milliseconds', host.now() - exchange.receivedAt)
  },
  [AnswerEnd.Cancelled]: ({ host, service }, { server, startedAt }) =>
    feedChoice(host, service, { kind: ChoiceEventKind.Completed, server: server.place.name, completion: CompletionKind.Cancelled, latencyMilliseconds: host.now() - startedAt }),
  [AnswerEnd.Truncated]: (dispatch, open) => {
    endFailed(dispatch, open)
    dispatch.host.metrics.count('answers_truncated_total')
    checkServerDeath(dispatch.host, dispatch.service, open).catch(() => {})
  }
}

function endFailed ({ host, service }: Dispatch, { server, startedAt }: OpenAttempt): void {
  feedChoice(host, service, { kind: ChoiceEventKind.Completed, server: server.place.name, completion: CompletionKind.Failed, latencyMilliseconds: host.now() - startedAt })
  feedHealth(host, service, { kind: HealthEventKind.Failed, server: server.place.name })
}

function noteUnreached ({ host, service }: Dispatch, { server, startedAt }: OpenAttempt, reason: string): void {
  feedChoice(host, service, { kind: ChoiceEventKind.Completed, server: server.place.name, completion: CompletionKind.Cancelled, latencyMilliseconds: host.now() - startedAt })
  if (reason === 'ECONNREFUSED') feedHealth(host, service, { kind: HealthEventKind.ConnectionRefused, server: server.place.name })
}

// Sends again if the budget and the rules of retries allow it, else fails with the account given.
function tryAgain (dispatch: Dispatch, cause: RetryCause, account: Account): void {
  const { exchange, host, service } = dispatch
  if (dispatch.answered) return
  // A guest that left is not answered, but its claim still has to end.
  if (exchange.finished) return exchange.claim?.sendFailed(account.code)
  if (dispatch.open.size > 0) return
  const bodyIsWhole = exchange.body !== null
  const decision = bodyIsWhole
    ? decideRetry({
      budget: service.retryBudget,
      now: host.now(),
      random: host.random,
      request: {
        cause,
        idempotent: exchange.route?.idempotent === true,
        retriedAbove: exchange.retriedAbove,
        maximumAttempts: service.rule.retry.maximumAttempts,
        sends: exchange.sends,
        deadlineAt: exchange.deadlineAt,
        expectedMilliseconds: service.choice.meanLatencyMilliseconds,
        classRank: readClassRank(exchange)
      }
    })
    : undefined
  if (decision?.retries !== true) {
    host.metrics.count('retries_refused_total')
    return failRequest(dispatch, account)
  }
  host.metrics.count('retries_total')
  schedule(dispatch, decision.delayMilliseconds, () => dispatch.sendNext(dispatch, false))
}
