// Handles the outcome of one attempt: relays the response, retries, or fails the request.
import { decideRetry, RetryCause } from '@siskinbeam/retries/decideRetry'
import { AdmissionEventKind } from '@siskinbeam/admission/admissionTypes'
import { CrashEventKind } from '@siskinbeam/crash-suspects/crashTypes'
import { recordRequestLatency } from '@siskinbeam/hedging/decideHedge'
import { ReportSource } from '@siskinbeam/probing/loadReport'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { ChoiceEventKind, CompletionKind } from '@siskinbeam/server-choice/choiceState'
import { HealthEventKind } from '@siskinbeam/server-health/healthState'
import { checkRefusingServer, checkServerDeath } from '../servers/checkServerDeath.js'
import { handleChoiceEvent, handleHealthEvent, recordReportHeader, recordRejection, parseServerStateHeaders } from '../servers/observeServers.js'
import { describePauses, recordNamedPause } from '../servers/pausedServers.js'
import type { ErrorResponse } from './errorResponse.js'
import { handleAdmissionEvent, getClassRank } from './admitRequest.js'
import { cancelOpenAttempts } from './cancelOpenAttempts.js'
import { failRequest, schedule, type Dispatch, type OpenAttempt } from './dispatchState.js'
import { bufferResponse } from './bufferResponse.js'
import { RelayEnd, relayResponse } from './relayResponse.js'
import { AttemptOutcomeKind, type AttemptOutcome } from './sendAttempt.js'

type OutcomeHandlers = {
  [Kind in AttemptOutcomeKind]: (dispatch: Dispatch, openAttempt: OpenAttempt, outcome: Extract<AttemptOutcome, { kind: Kind }>) => void
}

const minimumServerErrorStatus = 500

export function handleAttemptOutcome (dispatch: Dispatch, openAttempt: OpenAttempt, outcome: AttemptOutcome): void {
  const handle = outcomeHandlers[outcome.kind] as (dispatch: Dispatch, openAttempt: OpenAttempt, outcome: AttemptOutcome) => void
  handle(dispatch, openAttempt, outcome)
}

const outcomeHandlers: OutcomeHandlers = {
  [AttemptOutcomeKind.ResponseStarted]: (dispatch, openAttempt, { response }) => {
    const { exchange, host, service } = dispatch
    const { server } = openAttempt
    host.metrics.recordMilliseconds('server_milliseconds', host.now() - openAttempt.writtenAt)
    const buffered = exchange.claim === undefined ? undefined : bufferResponse(response)
    dispatch.responseStarted = true
    cancelOpenAttempts(dispatch)
    relayResponse({
      exchange,
      serverResponse: response,
      keepReading: buffered !== undefined,
      ...(buffered === undefined ? {} : { onChunk: buffered.append }),
      onEnd: end => {
        relayEndHandlers[end](dispatch, openAttempt)
        if (end === RelayEnd.Complete) {
          // The load report no longer counts this request, so it is recorded after the completion.
          recordReportHeader(host, service, server, response, ReportSource.Response)
          const isServerError = (response.statusCode ?? 0) >= minimumServerErrorStatus
          // A server in trouble may fail a request before it reaches the part that ends other servers.
          if (!isServerError) host.handleCrashEvent({ kind: CrashEventKind.Finished, fingerprint: dispatch.fingerprint() })
          handleHealthEvent(host, service, isServerError
            ? { kind: HealthEventKind.Failed, server: server.configuration.name, signs: parseServerStateHeaders(response) }
            : { kind: HealthEventKind.Responded, server: server.configuration.name, signs: parseServerStateHeaders(response), latencyMilliseconds: Math.max(0, host.now() - openAttempt.startedAt - server.roundTripMilliseconds) })
          exchange.claim?.responded(response.statusCode ?? 502, buffered?.headers() ?? {}, buffered?.body() ?? null)
        } else {
          exchange.claim?.sendFailed(ResultCode.AnswerTruncated)
        }
      }
    })
  },
  [AttemptOutcomeKind.NotStarted]: (dispatch, openAttempt, { reason, response }) => {
    const { exchange, host, service } = dispatch
    const isPause = response !== undefined && recordNamedPause(host, service, openAttempt.server, response)
    exchange.provablyNotStarted += 1
    if (response === undefined) recordUnreachedServer(dispatch, openAttempt, reason)
    else recordRejection(host, service, openAttempt.server, response)
    if (openAttempt.written) exchange.claim?.notStarted()
    if (exchange.finished || dispatch.responseStarted) return
    // A server that drains or wants a pause refuses requests regardless of its load, so its refusal is no sign of overload.
    if (response !== undefined && !isPause && !parseServerStateHeaders(response).draining) handleAdmissionEvent(host, service, { kind: AdmissionEventKind.Shed, requestId: exchange.exchangeId, resends: true, refusalOutcome: Outcome.NotRun })
    const error = describePauses(host, service) ?? {
      code: ResultCode.ServersRefused, message: `the last server tried did not start the request: ${reason}`, retryAfterMilliseconds: 1_000
    }
    // Without an idempotency key, only the server's statement says that the request did not run, so it is not sent again.
    if (openAttempt.written && exchange.route?.idempotent === false && exchange.idempotencyKey === undefined) return failRequest(dispatch, error)
    retryOrFail(dispatch, RetryCause.NotStarted, error)
  },
  [AttemptOutcomeKind.Broken]: (dispatch, openAttempt, { reason, reused }) => {
    const { host, service } = dispatch
    if (reused) dispatch.serversWithStaleConnections.add(openAttempt.server.configuration.name)
    recordFailedAttempt(dispatch, openAttempt)
    // Guests resend failed requests, so other hosts must learn of a dead server before the guest receives the error.
    checkServerDeath(host, service, openAttempt).then(() => retryOrFail(dispatch, RetryCause.Failed, {
      code: ResultCode.ServerFailedAfterSend, message: `the connection to the server broke: ${reason}`, outcome: Outcome.Unknown
    })).catch(error => host.logger.error('retry failed', { request: dispatch.exchange.requestId, reason: String(error) }))
  },
  [AttemptOutcomeKind.Malformed]: (dispatch, openAttempt, { reason }) => {
    recordFailedAttempt(dispatch, openAttempt)
    dispatch.host.logger.warn('malformed response from server', { request: dispatch.exchange.requestId, server: openAttempt.server.configuration.name, reason })
    retryOrFail(dispatch, RetryCause.Failed, { code: ResultCode.AnswerMalformed, message: reason, outcome: Outcome.Unknown })
  }
}

const relayEndHandlers: Record<RelayEnd, (dispatch: Dispatch, openAttempt: OpenAttempt) => void> = {
  [RelayEnd.Complete]: ({ exchange, host, service }, { server, startedAt }) => {
    const latencyMilliseconds = host.now() - startedAt
    exchange.responseCompleted = true
    handleChoiceEvent(host, service, { kind: ChoiceEventKind.Completed, server: server.configuration.name, completion: CompletionKind.Responded, latencyMilliseconds })
    recordRequestLatency(service.hedging, latencyMilliseconds)
    host.metrics.count('answers_total')
    host.metrics.recordMilliseconds('answer_milliseconds', host.now() - exchange.receivedAt)
  },
  [RelayEnd.Cancelled]: ({ host, service }, { server, startedAt }) =>
    handleChoiceEvent(host, service, { kind: ChoiceEventKind.Completed, server: server.configuration.name, completion: CompletionKind.Cancelled, latencyMilliseconds: host.now() - startedAt }),
  [RelayEnd.Truncated]: (dispatch, openAttempt) => {
    recordFailedAttempt(dispatch, openAttempt)
    dispatch.host.metrics.count('answers_truncated_total')
    checkServerDeath(dispatch.host, dispatch.service, openAttempt).catch(() => {})
  }
}

function recordFailedAttempt ({ host, service }: Dispatch, { server, startedAt }: OpenAttempt): void {
  handleChoiceEvent(host, service, { kind: ChoiceEventKind.Completed, server: server.configuration.name, completion: CompletionKind.Failed, latencyMilliseconds: host.now() - startedAt })
  handleHealthEvent(host, service, { kind: HealthEventKind.Failed, server: server.configuration.name })
}

function recordUnreachedServer ({ host, service }: Dispatch, { server, startedAt }: OpenAttempt, reason: string): void {
  handleChoiceEvent(host, service, { kind: ChoiceEventKind.Completed, server: server.configuration.name, completion: CompletionKind.Cancelled, latencyMilliseconds: host.now() - startedAt })
  if (reason !== 'ECONNREFUSED') return
  handleHealthEvent(host, service, { kind: HealthEventKind.ConnectionRefused, server: server.configuration.name })
  checkRefusingServer(host, service, server)
}

// Retries if the retry policy and the budget allow it; otherwise fails the request with the given error.
function retryOrFail (dispatch: Dispatch, cause: RetryCause, error: ErrorResponse): void {
  const { exchange, host, service } = dispatch
  if (dispatch.responseStarted) return
  // A disconnected guest gets no response, but its claim must still be completed.
  if (exchange.finished) return exchange.claim?.sendFailed(error.code)
  if (dispatch.openAttempts.size > 0) return
  const isBodyBuffered = exchange.body !== null
  const decision = isBodyBuffered
    ? decideRetry({
      budget: service.retryBudget,
      now: host.now(),
      random: host.random,
      request: {
        cause,
        idempotent: exchange.route?.idempotent === true,
        retriedByCaller: exchange.retriedByCaller,
        maximumAttempts: service.configuration.retry.maximumAttempts,
        sends: exchange.sends,
        deadlineAt: exchange.deadlineAt,
        expectedMilliseconds: service.choice.meanLatencyMilliseconds,
        classRank: getClassRank(exchange)
      }
    })
    : undefined
  if (decision?.retries !== true) {
    host.metrics.count('retries_refused_total')
    return failRequest(dispatch, error)
  }
  host.metrics.count('retries_total')
  schedule(dispatch, decision.delayMilliseconds, () => dispatch.sendNext(dispatch, false))
}
