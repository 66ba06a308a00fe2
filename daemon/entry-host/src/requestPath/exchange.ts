// The state of a guest's request while it passes through the filters of the request path.
import type { IncomingMessage, ServerResponse } from 'node:http'
import { hasWaitingRequest } from '@siskinbeam/message-heads/guardServer'
import type { RouteConfiguration } from '@siskinbeam/schema/bundle'
import type { RequestClaim } from '../claims/requestClaim.js'
import type { EntryHost } from '../entryHost.js'
import type { ServiceRuntime } from '../servers/serviceRuntime.js'

/** The state of one exchange with a guest. Times are monotonic milliseconds. */
export interface Exchange {
  readonly host: EntryHost
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly receivedAt: number
  readonly path: string
  /** Unique on this host, unlike request IDs, which guests choose and may repeat. */
  readonly exchangeId: string
  requestId: string
  deadlineAt: number
  depth: number
  service: ServiceRuntime | undefined
  route: RouteConfiguration | undefined
  guestClass: string
  idempotencyKey: string | undefined
  /** The attempt number that the guest states for its idempotency key; 1 for the first attempt. */
  guestAttempt: number | undefined
  /** The claim of a non-idempotent request with an idempotency key, once it was started. */
  claim: RequestClaim | undefined
  /** Called when the request is admitted again after its claim. */
  onAdmitted: (() => void) | undefined
  /** A caller higher in the call tree already retries. */
  retriedByCaller: boolean
  /** The buffered body, or null if it is streamed. */
  body: Buffer | null
  /** Number of attempts, including hedges. */
  sends: number
  /** Number of attempts that the server provably did not start to process. */
  provablyNotStarted: number
  /** The response of a server was received completely. */
  responseCompleted: boolean
  /** The response was written completely, or the connection to the guest was closed. */
  finished: boolean
  /** Called once when the exchange ends, regardless of its outcome. */
  onFinished: Array<() => void>
}

/** A step of the request path. It passes the exchange on by calling `next`, or ends it. */
export type Filter = (exchange: Exchange, next: () => void) => void

/** Composes filters into one function that runs an exchange through them in order. */
export function composeFilters (filters: readonly Filter[]): (exchange: Exchange) => void {
  return filters.reduceRight<(exchange: Exchange) => void>(
    (rest, filter) => exchange => filter(exchange, () => rest(exchange)),
  () => {}
  )
}

/** Marks the exchange as ended and calls its `onFinished` callbacks. */
export function finishExchange (exchange: Exchange): void {
  if (exchange.finished) return
  exchange.finished = true
  exchange.onFinished.forEach(callback => callback())
}

/** Whether the guest's connection is to be closed after the response. The rest of a body that arrives after it is not read. */
export function closesConnection ({ host, request }: Exchange): boolean {
  return (!request.complete || host.isLeaving()) && !hasWaitingRequest(request.socket)
}

/** Whether the request runs under a claim in the table service. */
export function needsClaim (exchange: Exchange): boolean {
  return exchange.route?.idempotent === false && exchange.idempotencyKey !== undefined
}
