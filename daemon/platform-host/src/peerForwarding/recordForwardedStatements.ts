// Records what a server says of itself in a response that came by way of another host. The guest gets the response from this host, which is
// then bound by it like by one of its own.
import { LimitNaming, readResponseMetadata } from '@siskinbeam/platform-adapter/serverProtocol'
import type { GuestExchange } from '../requestPath/guestExchange.js'
import type { CompleteResponse } from '../servers/serverConnection.js'

export interface ForwardedResponse {
  /** Name of the host that sent the request to the server. */
  peer: string
  startKey: string
  received: Pick<CompleteResponse, 'status' | 'headers'>
}

export function recordForwardedStatements ({ host }: GuestExchange, { peer, startKey, received: { status, headers } }: ForwardedResponse): void {
  const { limit, notices } = readResponseMetadata(status, headers)
  if (notices.isLeaving) host.noticedServers.applyLeaving([startKey], peer)
  // A pause is for the host that was told.
  if (limit.naming === LimitNaming.PerSecond) host.limitedServers.applyReports([{ server: startKey, requestsPerSecond: limit.requestsPerSecond, ageMilliseconds: 0 }], peer)
}
