// What this host holds for one server: its kept connections, its own sends and what became of them.
import type { RegisteredServer } from '@siskinbeam/server-registry/serverRegistry'
import { ServerState } from '@siskinbeam/server-registry/serverRegistry'
import { createServerConnection, type ServerConnection } from './serverConnection.js'

export interface ServerLink {
  server: RegisteredServer
  /** Sends of this host that have no answer yet. */
  inFlight: number
  /** Exponentially weighted share of sends that failed. */
  failureShare: number
  /** Until then the server is asked only if others are lacking. */
  avoidedUntil: number
  failuresInRow: number
  coldUntil: number
  /** Whether the server is among those that this host asks first, so that connections to it are used again. */
  preferred: boolean
  acceptsWork: () => boolean
  /** The connection named, if it is idle; else another kept one or a new one. */
  takeConnection: (wanted?: ServerConnection) => ServerConnection
  update: (server: RegisteredServer, now: number) => void
  close: () => void
}

export interface CreateServerLinkOptions {
  server: RegisteredServer
  now: number
  onConnectionOpened: () => void
}

/** Weight of the latest send in the share of failures. */
const failureWeight = 0.2
const firstAvoidanceMilliseconds = 400
const longestAvoidanceMilliseconds = 6_000
/** Shares below this are noise of single failures. */
const forgottenFailureShare = 0.02

/** Creates a link. */
export function createServerLink (options: CreateServerLinkOptions): ServerLink {
  const idle: ServerConnection[] = []
  let closed = false
  const forget = (connection: ServerConnection): void => {
    const index = idle.indexOf(connection)
    if (index !== -1) idle.splice(index, 1)
  }
  const takeIdle = (wanted: ServerConnection | undefined): ServerConnection | undefined => {
    if (wanted === undefined || !idle.includes(wanted)) return idle.pop()
    forget(wanted)
    return wanted
  }
  const link: ServerLink = {
    server: options.server,
    inFlight: 0,
    failureShare: 0,
    avoidedUntil: -Infinity,
    failuresInRow: 0,
    coldUntil: options.now + options.server.warmUpMilliseconds,
    preferred: true,
    acceptsWork: () => !closed && link.server.state === ServerState.Ready,
    takeConnection: wanted => takeIdle(wanted) ?? createServerConnection({
      address: link.server.address,
      onIdle: connection => {
        if (link.acceptsWork()) idle.push(connection)
        else connection.close()
      },
      onClosed: forget,
      onOpened: options.onConnectionOpened
    }),
    update: (server, now) => {
      link.server = server
      link.coldUntil = now + server.warmUpMilliseconds
      if (!link.acceptsWork()) closeIdle()
    },
    close: () => {
      closed = true
      closeIdle()
    }
  }
  const closeIdle = (): void => idle.splice(0).forEach(connection => connection.close())
  return link
}

/** Takes note of what became of a send. */
export function noteSendOutcome (link: ServerLink, failed: boolean): void {
  link.failureShare += failureWeight * ((failed ? 1 : 0) - link.failureShare)
  if (link.failureShare < forgottenFailureShare) link.failureShare = 0
}

/** Takes note that the server could not be reached or did not say how it is. */
export function noteUnreachable (link: ServerLink, now: number): void {
  link.avoidedUntil = now + Math.min(longestAvoidanceMilliseconds, firstAvoidanceMilliseconds * 2 ** link.failuresInRow)
  link.failuresInRow += 1
}

/** Takes note that the server answered. */
export function noteReachable (link: ServerLink): void {
  link.failuresInRow = 0
  link.avoidedUntil = -Infinity
}
