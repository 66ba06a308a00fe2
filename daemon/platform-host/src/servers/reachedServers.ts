// Follows which services this host reaches servers of, and logs each change.
import type { Logger } from '@siskinbeam/logging/createLogger'
import { createReachState, forgetService, isOutOfReach, listOutOfReach, mayUseOpenConnections, ReachChange, type ConnectionAge, recordServerResponse, recordServerSilence } from '@siskinbeam/server-reach/serverReach'
import type { ServerEndpoint } from './serverEndpoint.js'

export interface ReachedServers {
  /** Records that a server responded to this host. */
  recordResponse: (endpoint: ServerEndpoint, connection: ConnectionAge) => void
  /** Records that a server could not be connected to, or did not respond to a health check. */
  recordSilence: (endpoint: ServerEndpoint, connection: ConnectionAge) => void
  /** Whether this host reaches no server of a service with new connections. */
  isOutOfReach: (service: string) => boolean
  /** Whether connections to servers of a service that are still open can be used. */
  mayUseOpenConnections: (service: string) => boolean
  /** Whether a service has been out of reach for so long that slow links are no likely reason. */
  isLastinglyOutOfReach: (service: string) => boolean
  /** Whether any service has been out of reach for long enough that other hosts should know. */
  isCutOff: () => boolean
  /** Forgets a service that has no servers. */
  forgetService: (service: string) => void
  /** Lists the services without a server within reach. */
  listOutOfReach: () => string[]
}

export interface CreateReachedServersOptions {
  logger: Logger
  now: () => number
  /** Lists the servers of a service. */
  listService: (service: string) => ServerEndpoint[]
  /** Called when a service is out of reach. */
  onLost: () => void
}

/** A few servers that end at the same time put a service out of reach until the next check. */
const lastingMilliseconds = 200
/** By then, several checks of further servers have failed. */
const certainMilliseconds = 1_000

/** Creates a record in which all services are within reach. */
export function createReachedServers ({ logger, now, listService, onLost }: CreateReachedServersOptions): ReachedServers {
  const state = createReachState()
  const sinceOf = (service: string): number => listOutOfReach(state).find(each => each.service === service)?.since ?? now()
  return {
    recordResponse: ({ server }, connection) => {
      const since = sinceOf(server.service)
      if (recordServerResponse(state, server.service, connection) !== ReachChange.Regained) return
      logger.info('servers within reach again', { service: server.service, server: server.id, milliseconds: Math.round(now() - since) })
    },
    recordSilence: ({ server }, connection) => {
      const servers = listService(server.service).filter(endpoint => endpoint.acceptsRequests()).length
      if (recordServerSilence(state, { service: server.service, server: server.id, connection, servers, now: now() }) !== ReachChange.Lost) return
      logger.warn('servers out of reach', { service: server.service, server: server.id, servers })
      onLost()
    },
    isOutOfReach: service => isOutOfReach(state, service),
    mayUseOpenConnections: service => mayUseOpenConnections(state, service),
    isLastinglyOutOfReach: service => now() - sinceOf(service) > certainMilliseconds,
    isCutOff: () => listOutOfReach(state).some(({ since }) => now() - since > lastingMilliseconds),
    forgetService: service => forgetService(state, service),
    listOutOfReach: () => listOutOfReach(state).map(({ service }) => service)
  }
}
