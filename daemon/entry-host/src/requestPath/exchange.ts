// One request of a guest on its way through the filters of the request path.
import type { IncomingMessage, ServerResponse } from 'node:http'
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
  /** Unique on this host; request ids come from guests and may repeat. */
  readonly number: string
  requestId: string
  deadlineAt: number
  depth: number
  service: ServiceRuntime | undefined
  route: RouteConfiguration | undefined
  guestClass: string
  /** The idempotency key, if the guest sent one. */
  key: string | undefined
  /** How often the guest sent this key, this time included, if it says so. */
  guestAttempt: number | undefined
  /** The claim of a non-idempotent request with a key, once it was asked for. */
  claim: RequestClaim | undefined
  /** Called when admission lets the request through after its claim. */
  onAdmitted: (() => void) | undefined
  /** A layer above this one already retries. */
  retriedAbove: boolean
  /** The whole body, or null while it is streamed. */
  body: Buffer | null
  /** Sends to servers, hedges included. */
  sends: number
  /** Those of the sends that the server provably did not start. */
  provablyNotStarted: number
  /** A whole answer of a server was passed on. */
  answeredWhole: boolean
  /** The last bytes went to the guest, or the connection to it was destroyed. */
  finished: boolean
  /** Called once when the exchange ends, whatever its end. */
  onFinished: Array<() => void>
}

/** A step of the request path: it passes the exchange on, or ends it. */
export type Filter = (exchange: Exchange, next: () => void) => void

/** Joins filters into one function that runs an exchange through them in order. */
export function joinFilters (filters: readonly Filter[]): (exchange: Exchange) => void {
  return filters.reduceRight<(exchange: Exchange) => void>(
    (rest, filter) => exchange => filter(exchange, () => rest(exchange)),
  () => {}
  )
}

/** Marks the exchange as ended and tells those who wait for that. */
export function finishExchange (exchange: Exchange): void {
  if (exchange.finished) return
  exchange.finished = true
  exchange.onFinished.forEach(act => act())
}

/** Whether the request runs under a claim in the table service. */
export function needsClaim (exchange: Exchange): boolean {
  return exchange.route?.idempotent === false && exchange.key !== undefined
}
