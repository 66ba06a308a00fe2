// What this host holds for one server: its kept connections, its own sends and what became of them.
import type { RegisteredServer } from '@siskinbeam/server-registry/serverRegistry'
import { ServerState } from '@siskinbeam/server-registry/serverRegistry'
import { createServerConnection, type ServerConnection } from './serverConnection.js'

export interface ServerEndpoint {
  server: RegisteredServer
  /** Sends of this host that have no answer yet. */
  inFlight: number
  /** Exponentially weighted share of sends that failed. */
  failureShare: number
  /** Until then the server is asked only if others are lacking. */
  backOffUntil: number
  consecutiveFailures: number
  warmUpUntil: number
  /** Whether the server is among those that this host asks first, so that connections to it are used again. */
  preferred: boolean
  acceptsRequests: () => boolean
  /** The connection named, if it is idle; else another kept one or a new one. */
  acquireConnection: (wanted?: ServerConnection) => ServerConnection
  update: (server: RegisteredServer, now: number) => void
  close: () => void
}

export interface CreateServerEndpointOptions {
  server: RegisteredServer
  now: number
  onConnectionOpened: () => void
}

/** Weight of the latest send in the share of failures. */
const failureWeight = 0.2
const initialBackOffMilliseconds = 400
const maximumBackOffMilliseconds = 6_000
/** Shares below this are noise of single failures. */
const negligibleFailureShare = 0.02

/** Creates a endpoint. */
export function createServerEndpoint (options: CreateServerEndpointOptions): ServerEndpoint {
  const idle: ServerConnection[] = []
  let closed = false
  const removeIdle = (connection: ServerConnection): void => {
    const index = idle.indexOf(connection)
    if (index !== -1) idle.splice(index, 1)
  }
  const acquireIdle = (wanted: ServerConnection | undefined): ServerConnection | undefined => {
    if (wanted === undefined || !idle.includes(wanted)) return idle.pop()
    removeIdle(wanted)
    return wanted
  }
  const endpoint: ServerEndpoint = {
    server: options.server,
    inFlight: 0,
    failureShare: 0,
    backOffUntil: -Infinity,
    consecutiveFailures: 0,
    warmUpUntil: options.now + options.server.warmUpMilliseconds,
    preferred: true,
    acceptsRequests: () => !closed && endpoint.server.state === ServerState.Ready,
    acquireConnection: wanted => acquireIdle(wanted) ?? createServerConnection({
      address: endpoint.server.address,
      onIdle: connection => {
        if (endpoint.acceptsRequests()) idle.push(connection)
        else connection.close()
      },
      onClosed: removeIdle,
      onOpened: options.onConnectionOpened
    }),
    update: (server, now) => {
      endpoint.server = server
      endpoint.warmUpUntil = now + server.warmUpMilliseconds
      if (!endpoint.acceptsRequests()) closeIdle()
    },
    close: () => {
      closed = true
      closeIdle()
    }
  }
  const closeIdle = (): void => idle.splice(0).forEach(connection => connection.close())
  return endpoint
}

/** Takes note of what became of a send. */
export function recordSendOutcome (endpoint: ServerEndpoint, failed: boolean): void {
  endpoint.failureShare += failureWeight * ((failed ? 1 : 0) - endpoint.failureShare)
  if (endpoint.failureShare < negligibleFailureShare) endpoint.failureShare = 0
}

/** Takes note that the server could not be reached or did not say how it is. */
export function recordUnreachable (endpoint: ServerEndpoint, now: number): void {
  endpoint.backOffUntil = now + Math.min(maximumBackOffMilliseconds, initialBackOffMilliseconds * 2 ** endpoint.consecutiveFailures)
  endpoint.consecutiveFailures += 1
}

/** Takes note that the server answered. */
export function recordReachable (endpoint: ServerEndpoint): void {
  endpoint.consecutiveFailures = 0
  endpoint.backOffUntil = -Infinity
}
