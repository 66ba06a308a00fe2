// One request of a guest on its way through the filters of the request path.
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { LogFields } from '@siskinbeam/logging/createLogger'
import type { Route } from '@siskinbeam/route-table/configuration'
import type { PlatformHost } from '../platformHost.js'

export interface GuestExchange {
  host: PlatformHost
  request: IncomingMessage
  response: ServerResponse
  requestId: string
  path: string
  receivedAt: number
  /** How long the guest said that it waits. */
  guestTimeoutMilliseconds: number
  /** When the final answer is due: the guest stops waiting, or the route's timeout is reached. */
  deadlineAt: number
  route: Route | undefined
  service: string
  body: Buffer | undefined
  /** Sends that reached or may have reached a server. */
  sends: number
  /** What decided the latest choice of a server, for the log. */
  choiceLogFields: LogFields
  /** Ends the sends that are in progress and may be ended. */
  cancelSends: Set<() => void>
  /** Set once the guest has its answer or has left. */
  finished: boolean
}

/** A step of the request path: it passes the exchange on, or answers it. */
export type Filter = (exchange: GuestExchange, next: (exchange: GuestExchange) => void) => void

/** Joins filters; what the last one passes on is dropped. */
export function composeFilters (filters: Filter[]): (exchange: GuestExchange) => void {
  return filters.reduceRight<(exchange: GuestExchange) => void>((next, filter) => exchange => filter(exchange, next), () => {})
}
