// State that this host keeps for one server: a pool of idle connections, and statistics of the requests sent to it.
import type { RegisteredServer } from '@siskinbeam/server-registry/serverRegistry'
import { ServerState } from '@siskinbeam/server-registry/serverRegistry'
import { createConnectionPool } from './connectionPool.js'
import type { ServerConnection } from './serverConnection.js'

export interface ServerEndpoint {
  server: RegisteredServer
  /** Requests of this host that are awaiting a response. */
  inFlight: number
  /** Exponentially weighted moving average of the ratio of sends that failed, from 0 to 1. */
  failureRatio: number
  /** Time on the monotonic clock, in milliseconds, until which the server is probed only if there are too few others. */
  backoffUntil: number
  consecutiveFailures: number
  warmUpUntil: number
  /** Whether the server is in this host's preferred subset, which is probed first so that connections are reused. */
  preferred: boolean
  acceptsRequests: () => boolean
  /** Returns the wanted connection if it is idle, otherwise another idle or a new connection. */
  acquireConnection: (wanted?: ServerConnection) => ServerConnection
  openConnection: () => ServerConnection
  /** Whether a connection is idle, the wanted one if it is given, or another one may be opened. */
  hasConnectionLeft: (wanted?: ServerConnection) => boolean
  hasIdleConnection: () => boolean
  /** Whether a connection that was established before a time on the monotonic clock is still open. */
  hasConnectionSince: (time: number) => boolean
  update: (server: RegisteredServer, now: number) => void
  close: () => void
}

export interface CreateServerEndpointOptions {
  server: RegisteredServer
  now: () => number
  onConnectionOpened: () => void
  /** Number of connections that this host may have to the server. */
  connectionLimit: () => number
}

/** Weight of the latest send in the moving average. */
const failureWeight = 0.2
const initialBackoffMilliseconds = 400
const maximumBackoffMilliseconds = 6_000
/** Ratios below this value are the residue of single failures and are reset to 0. */
const negligibleFailureRatio = 0.02

/** Creates the state of a server without connections. */
export function createServerEndpoint (options: CreateServerEndpointOptions): ServerEndpoint {
  let closed = false
  const pool = createConnectionPool({
    address: () => endpoint.server.address,
    now: options.now,
    onConnectionOpened: options.onConnectionOpened,
    connectionLimit: options.connectionLimit,
    mayBeReused: () => endpoint.acceptsRequests()
  })
  const endpoint: ServerEndpoint = {
    server: options.server,
    inFlight: 0,
    failureRatio: 0,
    backoffUntil: -Infinity,
    consecutiveFailures: 0,
    warmUpUntil: options.now() + options.server.warmUpMilliseconds,
    preferred: true,
    acceptsRequests: () => !closed && endpoint.server.state === ServerState.Ready,
    acquireConnection: pool.acquire,
    openConnection: pool.open,
    hasConnectionLeft: pool.hasLeft,
    hasIdleConnection: pool.hasIdle,
    hasConnectionSince: pool.hasOpenSince,
    update: (server, now) => {
      endpoint.server = server
      endpoint.warmUpUntil = now + server.warmUpMilliseconds
      if (!endpoint.acceptsRequests()) pool.closeIdle()
    },
    close: () => {
      closed = true
      pool.closeIdle()
    }
  }
  return endpoint
}

/** Updates the failure ratio with the outcome of a send. */
export function recordSendOutcome (endpoint: ServerEndpoint, failed: boolean): void {
  endpoint.failureRatio += failureWeight * ((failed ? 1 : 0) - endpoint.failureRatio)
  if (endpoint.failureRatio < negligibleFailureRatio) endpoint.failureRatio = 0
}

/** Backs off exponentially from a server that was unreachable or did not respond to a probe. */
export function recordUnreachable (endpoint: ServerEndpoint, now: number): void {
  endpoint.backoffUntil = now + Math.min(maximumBackoffMilliseconds, initialBackoffMilliseconds * 2 ** endpoint.consecutiveFailures)
  endpoint.consecutiveFailures += 1
}

/** Ends the backoff after the server has responded. */
export function recordReachable (endpoint: ServerEndpoint): void {
  endpoint.consecutiveFailures = 0
  endpoint.backoffUntil = -Infinity
}
