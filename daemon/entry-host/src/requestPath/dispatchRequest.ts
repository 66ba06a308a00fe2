// Chooses servers for a request and sends it until one answers, or until nothing more may be tried.
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { ServerRuntime } from '../servers/serviceRuntime.js'
import { accountFor, type Account } from './accountFor.js'
import type { Exchange, Filter } from './exchange.js'
import { makeServerHeaders } from './forwardHeaders.js'
import { relayAnswer } from './relayAnswer.js'
import { AttemptEnd, sendAttempt, type Attempt, type AttemptOutcome } from './sendAttempt.js'

/** The filter that sends a request and relays the answer. */
export const dispatchRequest: Filter = exchange => {
  const { host } = exchange
  const tried = new Set<string>()
  let attempt: Attempt | undefined
  const deadlineTimer = setTimeout(() => {
    attempt?.cancel()
    accountFor(exchange, exchange.sends === exchange.provablyNotStarted
      ? { code: ResultCode.DeadlineExceededBeforeSend, message: 'the deadline passed before the request was sent' }
      : { code: ResultCode.ServerTimedOut, message: 'no answer within the deadline' })
  }, Math.max(0, exchange.deadlineAt - host.now()))
  exchange.onFinished.push(() => clearTimeout(deadlineTimer))
  exchange.response.on('close', () => {
    if (exchange.finished) return
    if (exchange.route?.idempotent === true) attempt?.cancel()
    accountFor(exchange, { code: ResultCode.GuestCancelled, message: 'the guest closed its connection' })
  })

  const tryNext = (): void => {
    if (exchange.finished) return
    const server = chooseUntried(exchange, tried)
    if (server === undefined) {
      return accountFor(exchange, {
        code: tried.size === 0 ? ResultCode.NoServer : ResultCode.ServersRefused,
        message: tried.size === 0 ? 'no server takes new work' : 'each server that was tried refused',
        retryAfterMilliseconds: 1_000
      })
    }
    tried.add(server.place.name)
    exchange.sends += 1
    server.inFlight += 1
    attempt = sendAttempt({
      exchange,
      server,
      headers: makeServerHeaders(exchange, host.now(), host.epochNow(), true),
      maySend: () => !exchange.finished,
      onOutcome: outcome => {
        server.inFlight -= 1
        outcomeHandlers[outcome.kind](exchange, outcome as never, tryNext)
      }
    })
  }
  tryNext()
}

type OutcomeHandlers = {
  [Kind in AttemptEnd]: (exchange: Exchange, outcome: Extract<AttemptOutcome, { kind: Kind }>, tryNext: () => void) => void
}

const outcomeHandlers: OutcomeHandlers = {
  [AttemptEnd.Answered]: (exchange, { answer }) => {
    if (exchange.finished) return answer.destroy() as unknown as void
    relayAnswer({ exchange, answer, onEnd: end => exchange.host.metrics.count(`answers_total{end="${end}"}`) })
  },
  [AttemptEnd.NotStarted]: (exchange, _outcome, tryNext) => {
    exchange.provablyNotStarted += 1
    tryNext()
  },
  [AttemptEnd.Broken]: (exchange, outcome, tryNext) =>
    retryOrAccount(exchange, tryNext, { code: ResultCode.ServerFailedAfterSend, message: outcome.reason, outcome: Outcome.Unknown }),
  [AttemptEnd.Malformed]: (exchange, outcome, tryNext) =>
    retryOrAccount(exchange, tryNext, { code: ResultCode.AnswerMalformed, message: outcome.reason, outcome: Outcome.Unknown })
}

function retryOrAccount (exchange: Exchange, tryNext: () => void, account: Account): void {
  if (exchange.route?.idempotent === true && exchange.body !== null) tryNext()
  else accountFor(exchange, account)
}

function chooseUntried (exchange: Exchange, tried: Set<string>): ServerRuntime | undefined {
  const { service, host } = exchange
  if (service === undefined || tried.size >= service.rule.retry.maximumAttempts) return undefined
  const candidates = [...service.servers.values()].filter(server => !tried.has(server.place.name))
  return candidates[Math.floor(host.random() * candidates.length)]
}
