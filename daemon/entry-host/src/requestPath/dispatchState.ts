// One request while it is being sent: which servers had it, and which sends are not answered yet.
import type { OpenSend, ServerRuntime, ServiceRuntime } from '../servers/serviceRuntime.js'
import type { EntryHost } from '../entryHost.js'
import type { Account } from './account.js'
import { accountFor } from './accountFor.js'
import { fingerprintExchange } from './fingerprintExchange.js'
import type { Exchange } from './exchange.js'
import type { Attempt } from './sendAttempt.js'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'

/** A send that is not answered yet. Times are monotonic milliseconds. */
export interface OpenAttempt extends OpenSend {
  server: ServerRuntime
  attempt: Attempt
  startedAt: number
  written: boolean
  isHedge: boolean
  connectionId: number | undefined
}

/** The state of a dispatch. */
export interface Dispatch {
  readonly host: EntryHost
  readonly exchange: Exchange
  readonly service: ServiceRuntime
  /** Names of servers that had this request. */
  readonly tried: string[]
  /** Servers whose kept connection broke under this request, which says nothing of the server; they may have it on a new one. */
  readonly brokenReuse: Set<string>
  readonly open: Set<OpenAttempt>
  hedges: number
  /** An answer is being relayed. */
  answered: boolean
  /** The request is a crash suspect: new connection, no hedge. */
  isolated: boolean
  readonly timers: Set<NodeJS.Timeout>
  readonly fingerprint: () => string
  /** Chooses a server and sends the request to it. */
  readonly sendNext: (dispatch: Dispatch, isHedge: boolean) => void
}

/** Creates the state of a dispatch. */
export function createDispatch (exchange: Exchange, service: ServiceRuntime, sendNext: Dispatch['sendNext']): Dispatch {
  let fingerprint: string | undefined
  return {
    host: exchange.host,
    exchange,
    service,
    tried: [],
    brokenReuse: new Set(),
    open: new Set(),
    hedges: 0,
    answered: false,
    isolated: false,
    timers: new Set(),
    fingerprint: () => {
      fingerprint ??= fingerprintExchange(exchange)
      return fingerprint
    },
    sendNext
  }
}

/** Runs an action later, unless the exchange has ended by then. */
export function schedule (dispatch: Dispatch, milliseconds: number, act: () => void): void {
  const timer = setTimeout(() => {
    dispatch.timers.delete(timer)
    if (!dispatch.exchange.finished) act()
  }, Math.max(0, milliseconds))
  dispatch.timers.add(timer)
}

/** Whether some send of the request may have been started by a server. */
export function mayHaveStarted ({ exchange }: Dispatch): boolean {
  return exchange.sends !== exchange.provablyNotStarted
}

/** Ends the request without an answer of a server. */
export function failRequest (dispatch: Dispatch, account: Account): void {
  const { exchange } = dispatch
  if (mayHaveStarted(dispatch)) {
    const code = account.outcome === Outcome.Unknown ? account.code : ResultCode.ServerFailedAfterSend
    if (exchange.claim !== undefined) return exchange.claim.sendFailed(code)
    return accountFor(exchange, { ...account, code, outcome: Outcome.Unknown })
  }
  if (exchange.claim !== undefined) return exchange.claim.giveUp(account.code)
  accountFor(exchange, account)
}
