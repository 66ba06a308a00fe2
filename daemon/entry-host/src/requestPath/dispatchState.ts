// The state of a request while it is sent: the servers that were tried and the attempts in progress.
import type { OpenSend, ServerRuntime, ServiceRuntime } from '../servers/serviceRuntime.js'
import type { EntryHost } from '../entryHost.js'
import type { ErrorResponse } from './errorResponse.js'
import { sendErrorResponse } from './sendErrorResponse.js'
import { fingerprintExchange } from './fingerprintExchange.js'
import type { Exchange } from './exchange.js'
import type { Attempt } from './sendAttempt.js'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'

/** An attempt that has no response yet. Times are monotonic milliseconds. */
export interface OpenAttempt extends OpenSend {
  server: ServerRuntime
  attempt: Attempt
  startedAt: number
  written: boolean
  isHedge: boolean
  connectionId: number | undefined
}

/** The state of sending one request. */
export interface Dispatch {
  readonly host: EntryHost
  readonly exchange: Exchange
  readonly service: ServiceRuntime
  /** Names of the servers that this request was sent to. */
  readonly triedServers: string[]
  /** Names of servers whose idle connection broke when this request reused it. That says nothing about the server, so it may be tried again on a new connection. */
  readonly serversWithStaleConnections: Set<string>
  readonly openAttempts: Set<OpenAttempt>
  hedges: number
  /** A response is being relayed. */
  responseStarted: boolean
  /** The request is a crash suspect; it is sent on a new connection and not hedged. */
  isolated: boolean
  readonly timers: Set<NodeJS.Timeout>
  readonly fingerprint: () => string
  /** Selects a server and sends the request to it. */
  readonly sendNext: (dispatch: Dispatch, isHedge: boolean) => void
}

export function createDispatch (exchange: Exchange, service: ServiceRuntime, sendNext: Dispatch['sendNext']): Dispatch {
  let fingerprint: string | undefined
  return {
    host: exchange.host,
    exchange,
    service,
    triedServers: [],
    serversWithStaleConnections: new Set(),
    openAttempts: new Set(),
    hedges: 0,
    responseStarted: false,
    isolated: false,
    timers: new Set(),
    fingerprint: () => {
      fingerprint ??= fingerprintExchange(exchange)
      return fingerprint
    },
    sendNext
  }
}

/** Runs an action after a delay, unless the exchange has ended by then. */
export function schedule (dispatch: Dispatch, milliseconds: number, action: () => void): void {
  const timer = setTimeout(() => {
    dispatch.timers.delete(timer)
    if (!dispatch.exchange.finished) action()
  }, Math.max(0, milliseconds))
  dispatch.timers.add(timer)
}

/** Whether a server may have started to process the request. */
export function mayHaveStarted ({ exchange }: Dispatch): boolean {
  return exchange.sends !== exchange.provablyNotStarted
}

/** Fails the request with an error response, through its claim if it has one. */
export function failRequest (dispatch: Dispatch, error: ErrorResponse): void {
  const { exchange } = dispatch
  if (mayHaveStarted(dispatch)) {
    const code = error.outcome === Outcome.Unknown ? error.code : ResultCode.ServerFailedAfterSend
    if (exchange.claim !== undefined) return exchange.claim.sendFailed(code)
    return sendErrorResponse(exchange, { ...error, code, outcome: Outcome.Unknown })
  }
  if (exchange.claim !== undefined) return exchange.claim.giveUp(error.code)
  sendErrorResponse(exchange, error)
}
