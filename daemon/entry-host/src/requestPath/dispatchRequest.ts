// Selects servers and sends the request, with hedging and with retries within the budget, until a server responds
// or no further attempt is allowed. Relays the response.
import { recordFirstSend, returnToken } from '@siskinbeam/retries/retryBudget'
import { carriesRetriedHeader } from '@siskinbeam/retries/decideRetry'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { ConnectionEventKind } from '@siskinbeam/connection-shares/connectionTypes'
import { ChoiceEventKind } from '@siskinbeam/server-choice/choiceState'
import { chooseServer } from '@siskinbeam/server-choice/chooseServer'
import { HealthEventKind } from '@siskinbeam/server-health/healthState'
import { handleChoiceEvent, handleHealthEvent, recordSend } from '../servers/observeServers.js'
import { describePauses, readAvailableWeight } from '../servers/pausedServers.js'
import type { ServerRuntime } from '../servers/serviceRuntime.js'
import { handleConnectionEvent } from '../servers/watchConnections.js'
import { sendErrorResponse } from './sendErrorResponse.js'
import { handleAttemptOutcome } from './attemptOutcomes.js'
import { cancelOpenAttempts } from './cancelOpenAttempts.js'
import { createDispatch, failRequest, mayHaveStarted, type Dispatch, type OpenAttempt } from './dispatchState.js'
import { finishExchange, type Filter } from './exchange.js'
import { buildServerHeaders } from './forwardHeaders.js'
import { scheduleHedge } from './hedgeRequest.js'
import { decideIsolation } from './isolateSuspect.js'
import { lateResponseMilliseconds } from './relayResponse.js'
import { sendAttempt } from './sendAttempt.js'

/** The filter that sends a request and relays the response. */
export const dispatchRequest: Filter = exchange => {
  const { service, host } = exchange
  if (service === undefined) return
  const dispatch = createDispatch(exchange, service, sendNext)
  recordFirstSend(service.retryBudget, host.now())
  host.metrics.recordMilliseconds('before_send_milliseconds', host.now() - exchange.receivedAt)
  const deadlineTimer = setTimeout(onDeadline, Math.max(0, exchange.deadlineAt - host.now()), dispatch)
  exchange.response.on('close', () => onGuestDisconnected(dispatch))
  exchange.onFinished.push(() => {
    clearTimeout(deadlineTimer)
    dispatch.timers.forEach(clearTimeout)
  })
  sendNext(dispatch, false)
}

function sendNext (dispatch: Dispatch, isHedge: boolean): void {
  const { host, exchange, service } = dispatch
  if (exchange.finished || dispatch.responseStarted) return
  decideIsolation(dispatch, serverName => {
    const choose = (excluded: string[]): string | undefined => chooseServer({
      state: service.choice,
      policy: service.configuration.policy,
      now: host.now(),
      random: host.random,
      readWeight: server => readAvailableWeight(host, service, server),
      excluded
    })
    const name = serverName ?? choose(dispatch.triedServers) ?? choose(dispatch.triedServers.filter(tried => !dispatch.serversWithStaleConnections.has(tried)))
    const server = name === undefined ? undefined : service.servers.get(name)
    if (server !== undefined) return sendTo(dispatch, server, isHedge)
    if (isHedge) returnToken(service.retryBudget)
    if (dispatch.openAttempts.size > 0) return
    failRequest(dispatch, describePauses(host, service) ?? (dispatch.triedServers.length === 0
      ? { code: ResultCode.NoServer, message: 'no server takes new work', retryAfterMilliseconds: 1_000 }
      : { code: ResultCode.ServersRefused, message: 'each server that was tried refused', retryAfterMilliseconds: 1_000 }))
  })
}

function sendTo (dispatch: Dispatch, server: ServerRuntime, isHedge: boolean): void {
  const { host, exchange, service } = dispatch
  const { name } = server.configuration
  // Other persistent connections to the server may be broken as well.
  const newConnection = dispatch.isolated || dispatch.serversWithStaleConnections.delete(name)
  dispatch.triedServers.push(name)
  exchange.sends += 1
  handleChoiceEvent(host, service, { kind: ChoiceEventKind.Sent, server: name })
  const mayRetry = carriesRetriedHeader({
    idempotent: exchange.route?.idempotent === true,
    retriedByCaller: exchange.retriedByCaller,
    maximumAttempts: service.configuration.retry.maximumAttempts
  })
  const startedAt = host.now()
  const openAttempt: OpenAttempt = { server, startedAt, writtenAt: startedAt, written: false, isHedge, connectionId: undefined, fingerprint: dispatch.fingerprint, attempt: undefined as never }
  dispatch.openAttempts.add(openAttempt)
  const reportConnectionEvent = (kind: ConnectionEventKind.Progressed | ConnectionEventKind.Finished, connectionId: number | undefined): void => {
    if (connectionId !== undefined) handleConnectionEvent(host, service, server, { kind, connectionId })
  }
  openAttempt.attempt = sendAttempt({
    exchange,
    server,
    newConnection,
    headers: buildServerHeaders(exchange, startedAt, host.epochNow(), mayRetry),
    maySend: () => maySend(dispatch, server),
    onProgress: connectionId => reportConnectionEvent(ConnectionEventKind.Progressed, connectionId),
    onFinished: connectionId => reportConnectionEvent(ConnectionEventKind.Finished, connectionId),
    onBodyTooLarge: () => {
      cancelOpenAttempts(dispatch)
      sendErrorResponse(exchange, { code: ResultCode.BodyTooLarge, message: `the body is over ${service.configuration.maximumBodyBytes} bytes`, outcome: Outcome.Unknown })
    },
    onWritten: connectionId => {
      openAttempt.written = true
      openAttempt.connectionId = connectionId
      openAttempt.writtenAt = host.now()
      host.metrics.recordMilliseconds('connection_wait_milliseconds', openAttempt.writtenAt - openAttempt.startedAt)
      server.openSends.add(openAttempt)
      exchange.claim?.sendStarted()
      if (connectionId !== undefined) {
        handleConnectionEvent(host, service, server, {
          kind: ConnectionEventKind.Sent, connectionId, deadlineAt: exchange.deadlineAt, interruptible: exchange.route?.idempotent === true
        })
      }
      recordSend(host, service, server)
    },
    onOutcome: outcome => {
      dispatch.openAttempts.delete(openAttempt)
      server.openSends.delete(openAttempt)
      handleAttemptOutcome(dispatch, openAttempt, outcome)
    }
  })
  if (!isHedge) scheduleHedge(dispatch, openAttempt)
}

// Checked when the connection is open, immediately before the first byte: since the server was selected, it may have
// started to shut down, the claim may have expired, or the guest may have disconnected.
function maySend ({ exchange, service, host }: Dispatch, server: ServerRuntime): boolean {
  return !exchange.finished && (exchange.claim?.maySend() ?? true) && readAvailableWeight(host, service, server.configuration.name) > 0
}

function onDeadline (dispatch: Dispatch): void {
  const { exchange, host, service } = dispatch
  // A response in progress may continue after the deadline; the connection health detects a connection that stalls.
  if (exchange.finished || dispatch.responseStarted) return
  const { claim } = exchange
  dispatch.openAttempts.forEach(({ server, written }) => {
    if (written) handleHealthEvent(host, service, { kind: HealthEventKind.Failed, server: server.configuration.name })
  })
  if (claim !== undefined && mayHaveStarted(dispatch)) {
    scheduleLateCancellation(dispatch)
    return claim.sendFailed(ResultCode.ServerTimedOut)
  }
  const unsentCount = [...dispatch.openAttempts].filter(({ written }) => !written).length
  cancelOpenAttempts(dispatch)
  exchange.provablyNotStarted += unsentCount
  failRequest(dispatch, mayHaveStarted(dispatch)
    ? { code: ResultCode.ServerTimedOut, message: 'no answer within the deadline', outcome: Outcome.Unknown }
    : { code: ResultCode.DeadlineExceededBeforeSend, message: 'the deadline passed before the request was sent' })
}

function scheduleLateCancellation (dispatch: Dispatch): void {
  setTimeout(cancelOpenAttempts, lateResponseMilliseconds, dispatch).unref()
}

function onGuestDisconnected (dispatch: Dispatch): void {
  const { exchange } = dispatch
  if (exchange.finished || dispatch.responseStarted) return
  const remaining = Math.max(0, exchange.deadlineAt - dispatch.host.now())
  if (exchange.claim !== undefined) {
    const { claim } = exchange
    claim.guestDisconnected()
    setTimeout(() => {
      claim.sendFailed(ResultCode.ServerTimedOut)
      scheduleLateCancellation(dispatch)
    }, remaining)
    return finishExchange(exchange)
  }
  // Cancelling a non-idempotent request could leave it partially executed, so it may run until its deadline.
  if (exchange.route?.idempotent === true || !exchange.request.complete) cancelOpenAttempts(dispatch)
  else setTimeout(cancelOpenAttempts, remaining, dispatch)
  sendErrorResponse(exchange, { code: ResultCode.GuestCancelled, message: 'the guest closed its connection' })
}
