// State of one guest request while it passes through the filters of the request path.
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { LogFields } from '@siskinbeam/logging/createLogger'
import type { Route } from '@siskinbeam/route-table/configuration'
import type { ForwardedDetails } from '../peerForwarding/forwardingHeaders.js'
import type { PlatformHost } from '../platformHost.js'

export interface GuestExchange {
  host: PlatformHost
  request: IncomingMessage
  response: ServerResponse
  requestId: string
  path: string
  receivedAt: number
  /** Timeout that the guest stated. */
  guestTimeoutMilliseconds: number
  /** Deadline of the final response: the earlier of the guest's timeout and the route's timeout, on the monotonic clock. */
  deadlineAt: number
  route: Route | undefined
  service: string
  body: Buffer | undefined
  /** Set if another host has the request of the guest and forwards it to this one. */
  forwarded: ForwardedDetails | undefined
  /** Number of sends that reached or may have reached a server. */
  sends: number
  /** Log fields that describe the latest choice of a server. */
  choiceLogFields: LogFields
  /** Functions that cancel the sends in progress. */
  cancelSends: Set<() => void>
  /** Check whether the server of the latest broken send has ended; resolved if no send broke. */
  deathCheck: Promise<void>
  /** Whether the guest has ended its sending side, so that the request must not be sent to a further server. */
  guestEnded: boolean
  /** Whether the guest's connection is to be closed after the response, since the host shuts down. */
  closesConnection: () => boolean
  /** Set once a response has been chosen or the guest has disconnected. */
  finished: boolean
}

/** A step of the request path, which either calls `next` or responds to the guest. */
export type Filter = (exchange: GuestExchange, next: (exchange: GuestExchange) => void) => void

/** Composes filters in order. A call of `next` by the last one has no effect. */
export function composeFilters (filters: Filter[]): (exchange: GuestExchange) => void {
  return filters.reduceRight<(exchange: GuestExchange) => void>((next, filter) => exchange => filter(exchange, next), () => {})
}
