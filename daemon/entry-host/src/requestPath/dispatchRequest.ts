// Sends a request until a server answers or nothing more may be tried: chooses a server, sends, hedges,
// retries within the budget, and relays the answer.
import { recordFirstSend, returnToken } from '@siskinbeam/retries/retryBudget'
import { carriesRetriedHeader } from '@siskinbeam/retries/decideRetry'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { ConnectionEventKind } from '@siskinbeam/connection-shares/connectionTypes'
import { ChoiceEventKind } from '@siskinbeam/server-choice/choiceState'
import { chooseServer } from '@siskinbeam/server-choice/chooseServer'
import { readServerWeight } from '@siskinbeam/server-health/readServerWeight'
import { HealthEventKind } from '@siskinbeam/server-health/healthState'
import { feedChoice, feedHealth, noteSent } from '../servers/observeServers.js'
import type { ServerRuntime } from '../servers/serviceRuntime.js'
import { feedConnections } from '../servers/watchConnections.js'
import { accountFor } from './accountFor.js'
import { handleOutcome } from './attemptOutcomes.js'
import { cancelOpen } from './cancelOpen.js'
import { createDispatch, failRequest, mayHaveStarted, type Dispatch, type OpenAttempt } from './dispatchState.js'
import { finishExchange, type Filter } from './exchange.js'
import { makeServerHeaders } from './forwardHeaders.js'
import { scheduleHedge } from './hedgeRequest.js'
import { decideIsolation } from './isolateSuspect.js'
import { sendAttempt } from './sendAttempt.js'

// A claimed request that timed out may still be answered; its answer is stored for the next ask.
const lateAnswerMilliseconds = 10_000

/** The filter that sends a request and relays the answer. */
export const dispatchRequest: Filter = exchange => {
  const { service, host } = exchange
  if (service === undefined) return
  const dispatch = createDispatch(exchange, service, sendNext)
  recordFirstSend(service.retryBudget, host.now())
  host.metrics.recordMilliseconds('before_send_milliseconds', host.now() - exchange.receivedAt)
  const deadlineTimer = setTimeout(onDeadline, Math.max(0, exchange.deadlineAt - host.now()), dispatch)
  exchange.response.on('close', () => onGuestGone(dispatch))
  exchange.onFinished.push(() => {
    clearTimeout(deadlineTimer)
    dispatch.timers.forEach(clearTimeout)
  })
  sendNext(dispatch, false)
}

function sendNext (dispatch: Dispatch, isHedge: boolean): void {
  const { host, exchange, service } = dispatch
  if (exchange.finished || dispatch.answered) return
  decideIsolation(dispatch, serverName => {
    const choose = (excluded: string[]): string | undefined => chooseServer({
      state: service.choice,
      policy: service.rule.policy,
      now: host.now(),
      random: host.random,
      readWeight: server => readServerWeight(service.health, server, host.now()),
      excluded
    })
    const name = serverName ?? choose(dispatch.tried) ?? choose(dispatch.tried.filter(tried => !dispatch.brokenReuse.has(tried)))
    const server = name === undefined ? undefined : service.servers.get(name)
    if (server !== undefined) return sendTo(dispatch, server, isHedge)
    if (isHedge) returnToken(service.retryBudget)
    if (dispatch.open.size > 0) return
    failRequest(dispatch, dispatch.tried.length === 0
      ? { code: ResultCode.NoServer, message: 'no server takes new work', retryAfterMilliseconds: 1_000 }
      : { code: ResultCode.ServersRefused, message: 'each server that was tried refused', retryAfterMilliseconds: 1_000 })
  })
}

function sendTo (dispatch: Dispatch, server: ServerRuntime, isHedge: boolean): void {
  const { host, exchange, service } = dispatch
  const { name } = server.place
  // Other kept connections of the server may be broken as well.
  const newConnection = dispatch.isolated || dispatch.brokenReuse.delete(name)
  dispatch.tried.push(name)
  exchange.sends += 1
  feedChoice(host, service, { kind: ChoiceEventKind.Sent, server: name })
  const retried = carriesRetriedHeader({
    idempotent: exchange.route?.idempotent === true,
    retriedAbove: exchange.retriedAbove,
    maximumAttempts: service.rule.retry.maximumAttempts
  })
  const startedAt = host.now()
  const open: OpenAttempt = { server, startedAt, writtenAt: startedAt, written: false, isHedge, connectionId: undefined, fingerprint: dispatch.fingerprint, attempt: undefined as never }
  dispatch.open.add(open)
  const noteConnection = (kind: ConnectionEventKind.Progressed | ConnectionEventKind.Finished, connectionId: number | undefined): void => {
    if (connectionId !== undefined) feedConnections(host, service, server, { kind, connectionId })
  }
  open.attempt = sendAttempt({
    exchange,
    server,
    newConnection,
    headers: makeServerHeaders(exchange, startedAt, host.epochNow(), retried),
    maySend: () => maySend(dispatch, server),
    onProgress: connectionId => noteConnection(ConnectionEventKind.Progressed, connectionId),
    onFinished: connectionId => noteConnection(ConnectionEventKind.Finished, connectionId),
    onBodyTooLarge: () => {
      cancelOpen(dispatch)
      accountFor(exchange, { code: ResultCode.BodyTooLarge, message: `the body is over ${service.rule.maximumBodyBytes} bytes`, outcome: Outcome.Unknown })
    },
    onWritten: connectionId => {
      open.written = true
      open.connectionId = connectionId
      open.writtenAt = host.now()
      host.metrics.recordMilliseconds('connection_wait_milliseconds', open.writtenAt - open.startedAt)
      server.openSends.add(open)
      exchange.claim?.sendStarted()
      if (connectionId !== undefined) {
        feedConnections(host, service, server, {
          kind: ConnectionEventKind.Sent, connectionId, deadlineAt: exchange.deadlineAt, interruptible: exchange.route?.idempotent === true
        })
      }
      noteSent(host, service, server)
    },
    onOutcome: outcome => {
      dispatch.open.delete(open)
      server.openSends.delete(open)
      handleOutcome(dispatch, open, outcome)
    }
  })
  if (!isHedge) scheduleHedge(dispatch, open)
}

// Asked when the connection is open, right before the first byte: the server may have begun to leave,
// the claim may have lapsed, or the guest may have gone since the choice.
function maySend ({ exchange, service, host }: Dispatch, server: ServerRuntime): boolean {
  return !exchange.finished && (exchange.claim?.maySend() ?? true) && readServerWeight(service.health, server.place.name, host.now()) > 0
}

function onDeadline (dispatch: Dispatch): void {
  const { exchange, host, service } = dispatch
  // An answer on its way may be longer than the deadline; a connection that goes silent is found by its health.
  if (exchange.finished || dispatch.answered) return
  const { claim } = exchange
  dispatch.open.forEach(({ server, written }) => {
    if (written) feedHealth(host, service, { kind: HealthEventKind.Failed, server: server.place.name })
  })
  if (claim !== undefined && mayHaveStarted(dispatch)) {
    cancelLate(dispatch)
    return claim.sendFailed(ResultCode.ServerTimedOut)
  }
  const unsent = [...dispatch.open].filter(({ written }) => !written).length
  cancelOpen(dispatch)
  exchange.provablyNotStarted += unsent
  failRequest(dispatch, mayHaveStarted(dispatch)
    ? { code: ResultCode.ServerTimedOut, message: 'no answer within the deadline', outcome: Outcome.Unknown }
    : { code: ResultCode.DeadlineExceededBeforeSend, message: 'the deadline passed before the request was sent' })
}

function cancelLate (dispatch: Dispatch): void {
  setTimeout(cancelOpen, lateAnswerMilliseconds, dispatch).unref()
}

function onGuestGone (dispatch: Dispatch): void {
  const { exchange } = dispatch
  if (exchange.finished || dispatch.answered) return
  const remaining = Math.max(0, exchange.deadlineAt - dispatch.host.now())
  if (exchange.claim !== undefined) {
    const { claim } = exchange
    claim.guestLeft()
    setTimeout(() => {
      claim.sendFailed(ResultCode.ServerTimedOut)
      cancelLate(dispatch)
    }, remaining)
    return finishExchange(exchange)
  }
  // Cancelling a request that is not idempotent could leave it half done, so it has until its deadline.
  if (exchange.route?.idempotent === true || !exchange.request.complete) cancelOpen(dispatch)
  else setTimeout(cancelOpen, remaining, dispatch)
  accountFor(exchange, { code: ResultCode.GuestCancelled, message: 'the guest closed its connection' })
}
