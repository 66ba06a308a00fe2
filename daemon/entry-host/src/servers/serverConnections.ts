// Connections to one server: a keep-alive agent that never hands out a connection whose last exchange
// did not end cleanly, or that received bytes while nothing was asked of it.
import { Agent, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

const idleMilliseconds = 30_000

export interface ServerConnectionsOptions {
  maximumConnections: number
  outgoingAddress: string | undefined
  onOpened: (connectionId: number) => void
  onClosed: (connectionId: number) => void
}

/** The keep-alive agent of one server. */
export class ServerConnections extends Agent {
  private readonly connectionOptions: ServerConnectionsOptions
  private readonly ids = new WeakMap<Duplex, number>()
  private readonly socketsById = new Map<number, Socket>()
  private readonly idleListeners = new WeakMap<Duplex, () => void>()
  private lastId = 0
  private retired = false

  constructor (options: ServerConnectionsOptions) {
    super({
      keepAlive: true,
      maxSockets: options.maximumConnections,
      maxFreeSockets: options.maximumConnections,
      scheduling: 'lifo',
      ...(options.outgoingAddress === undefined ? {} : { localAddress: options.outgoingAddress })
    })
    this.connectionOptions = options
  }

  /** Gives the id of a connection, a new one for a connection that was not seen before. */
  identify (socket: Socket): number {
    const known = this.ids.get(socket)
    if (known !== undefined) return known
    this.lastId += 1
    const connectionId = this.lastId
    this.ids.set(socket, connectionId)
    this.socketsById.set(connectionId, socket)
    socket.setNoDelay(true)
    socket.once('close', () => {
      this.socketsById.delete(connectionId)
      this.connectionOptions.onClosed(connectionId)
    })
    this.connectionOptions.onOpened(connectionId)
    return connectionId
  }

  /** Closes a connection, whatever it carries. */
  closeConnection (connectionId: number): void {
    this.socketsById.get(connectionId)?.destroy()
  }

  /** Closes all idle connections. */
  closeIdle (): void {
    Object.values(this.freeSockets).flatMap(sockets => sockets ?? []).forEach(socket => socket.destroy())
  }

  /** Closes idle connections now and busy ones after their exchange; for a server that left the bundle. */
  retire (): void {
    this.retired = true
    this.closeIdle()
  }

  // Bytes that arrive on an idle connection belong to no request. The next request would take them for
  // its answer, so the connection is closed at the first of them.
  override keepSocketAlive (socket: Duplex): boolean {
    if (this.retired || socket.readableLength > 0 || socket.writableLength > 0) return false
    const destroySocket = (): void => { socket.destroy() }
    socket.on('data', destroySocket)
    ;(socket as Socket).setTimeout(idleMilliseconds, destroySocket)
    this.idleListeners.set(socket, destroySocket)
    // The published types lack the result of this hook.
    return super.keepSocketAlive(socket) as unknown as boolean
  }

  override reuseSocket (socket: Duplex, request: ClientRequest): void {
    const destroySocket = this.idleListeners.get(socket)
    if (destroySocket !== undefined) {
      socket.removeListener('data', destroySocket)
      ;(socket as Socket).setTimeout(0)
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
