// A request on its way to a server: what has been tried, and whether it may be sent again.
import { FurtherSendPurpose } from '@siskinbeam/retry-share/retryShare'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { Route } from '@siskinbeam/route-table/configuration'
import type { ServerEndpoint } from '../servers/serverEndpoint.js'
import type { GuestExchange } from './guestExchange.js'
import { refuse } from './refuse.js'

export interface PendingRequest {
  exchange: GuestExchange
  route: Route
  tried: Set<ServerEndpoint>
  /** Estimated time of the guest's first attempt, on the monotonic clock. */
  firstAttemptAt: number
  /** Whether any server may have run the request. */
  mayHaveRun: boolean
}

/** With less time remaining than this ratio of the expected service time, a further send would not complete in time. */
export const minimumRemainingRatio = 0.5

/** Refuses a request as not run, or as possibly run if a server may have started it. */
export function refuseNotRun ({ exchange, mayHaveRun }: PendingRequest, code: ResultCode, reason: string, retryAfterMilliseconds: number): void {
  refuse(exchange, { code: mayHaveRun ? ResultCode.ServerFailedAfterSend : code, reason, retryAfterMilliseconds })
}

/** Whether a request that a server may have run can be sent again. */
export function canRepeat (pending: PendingRequest): boolean {
  return pending.route.idempotent && canSendAgain(pending)
}

export function canSendAgain ({ exchange, route }: PendingRequest): boolean {
  return !exchange.finished && exchange.sends < route.maximumAttempts &&
    exchange.deadlineAt - exchange.host.now() > minimumRemainingRatio * exchange.host.serviceTimes.read(route.name, route.targetLatencyMilliseconds) &&
    exchange.host.retryBudgets.tryTake(exchange.service, FurtherSendPurpose.Retry)
}
