// Connection pool of one server: a keep-alive agent that never reuses a connection whose last exchange did not
// end cleanly or that received bytes while idle.
import { Agent, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

const idleTimeoutMilliseconds = 30_000

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
  private readonly idleDataListeners = new WeakMap<Duplex, () => void>()
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

  /** Returns the ID of a connection and assigns one at the first call. */
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

  /** Closes a connection, also if a request is in progress on it. */
  closeConnection (connectionId: number): void {
    this.socketsById.get(connectionId)?.destroy()
  }

  closeIdle (): void {
    Object.values(this.freeSockets).flatMap(sockets => sockets ?? []).forEach(socket => socket.destroy())
  }

  /** Closes idle connections now and busy ones after their exchange. Used for servers removed from the bundle. */
  retire (): void {
    this.retired = true
    this.closeIdle()
  }

  // Bytes that arrive on an idle connection belong to no request. Node would parse them as the response to the
  // next request, so the connection is closed when any arrive.
  override keepSocketAlive (socket: Duplex): boolean {
    if (this.retired || socket.readableLength > 0 || socket.writableLength > 0) return false
    const destroySocket = (): void => { socket.destroy() }
    socket.on('data', destroySocket)
    ;(socket as Socket).setTimeout(idleTimeoutMilliseconds, destroySocket)
    this.idleDataListeners.set(socket, destroySocket)
    // The type declarations of Node lack the return value of this hook.
    return super.keepSocketAlive(socket) as unknown as boolean
  }

  override reuseSocket (socket: Duplex, request: ClientRequest): void {
    const destroySocket = this.idleDataListeners.get(socket)
    if (destroySocket !== undefined) {
      socket.removeListener('data', destroySocket)
      ;(socket as Socket).setTimeout(0)
      socket.removeListener('timeout', destroySocket)
    }
    super.reuseSocket(socket, request)
  }

  /** Counts the open connections. */
  countOpen (): { busy: number, idle: number } {
    const count = (pools: NodeJS.ReadOnlyDict<Socket[]>): number => Object.values(pools).reduce((sum, sockets) => sum + (sockets?.length ?? 0), 0)
    return { busy: count(this.sockets), idle: count(this.freeSockets) }
  }
}
