// Connections to one server: a keep-alive agent that never hands out a connection whose last exchange
// did not end cleanly, or that received bytes while nothing was asked of it.
import { Agent, type AgentOptions, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

const idleMilliseconds = 30_000

/** What the agent knows of a socket. */
export interface ConnectionFacts {
  openedAt: number
  lastByteAt: number
  poisoned: boolean
}

export interface ServerConnectionsOptions extends AgentOptions {
  now: () => number
  maximumConnections: number
  outgoingAddress: string | undefined
}

/** The keep-alive agent of one server. */
export class ServerConnections extends Agent {
  private readonly facts = new WeakMap<Socket, ConnectionFacts>()
  private readonly now: () => number
  /** Idle connections opened no later than this are closed before they carry a request. */
  private suspectUntil = -Infinity

  constructor ({ now, maximumConnections, outgoingAddress, ...options }: ServerConnectionsOptions) {
    super({
      keepAlive: true,
      maxSockets: maximumConnections,
      maxFreeSockets: maximumConnections,
      scheduling: 'lifo',
      timeout: 0,
      ...(outgoingAddress === undefined ? {} : { localAddress: outgoingAddress }),
      ...options
    })
    this.now = now
  }

  /** Remembers when a connection was opened. */
  noteSocket (socket: Socket): ConnectionFacts {
    const known = this.facts.get(socket)
    if (known !== undefined) return known
    const created = { openedAt: this.now(), lastByteAt: this.now(), poisoned: false }
    this.facts.set(socket, created)
    socket.setNoDelay(true)
    return created
  }

  /** Bars the connection from further use. */
  poison (socket: Socket): void {
    this.noteSocket(socket).poisoned = true
  }

  /** Closes all idle connections. */
  closeIdle (): void {
    this.suspectOpenedUntil(this.now())
  }

  /** Closes idle connections that were opened no later than a silent one. */
  suspectOpenedUntil (openedAt: number): void {
    this.suspectUntil = Math.max(this.suspectUntil, openedAt)
    Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])
      .filter(socket => this.noteSocket(socket).openedAt <= this.suspectUntil)
      .forEach(socket => socket.destroy())
  }

  // Bytes that arrive on an idle connection belong to no request. The next request would take them for
  // its answer, so the connection is closed at the first of them.
  override keepSocketAlive (socket: Socket): boolean {
    const facts = this.noteSocket(socket)
    if (facts.poisoned || facts.openedAt <= this.suspectUntil || socket.readableLength > 0 || socket.writableLength > 0) return false
    const destroySocket = (): void => { socket.destroy() }
    socket.on('data', destroySocket)
    socket.setTimeout(idleMilliseconds, destroySocket)
    this.idleListeners.set(socket, destroySocket)
    return super.keepSocketAlive(socket) as unknown as boolean
  }

  private readonly idleListeners = new WeakMap<Duplex, () => void>()

  override reuseSocket (socket: Socket, request: ClientRequest): void {
    const destroySocket = this.idleListeners.get(socket)
    if (destroySocket !== undefined) {
      socket.removeListener('data', destroySocket)
      socket.setTimeout(0, destroySocket)
      socket.removeListener('timeout', destroySocket)
    }
    super.reuseSocket(socket, request)
  }

  /** Open connections, busy and idle. */
  countOpen (): { busy: number, idle: number } {
    const count = (pools: NodeJS.ReadOnlyDict<Socket[]>): number => Object.values(pools).reduce((sum, sockets) => sum + (sockets?.length ?? 0), 0)
    return { busy: count(this.sockets), idle: count(this.freeSockets) }
  }
}
