// Connections to one address that carry one exchange at a time and are reused. Their number is bounded.
import { createServerConnection, type ServerConnection } from './serverConnection.js'

export interface ConnectionPool {
  /** Returns the wanted connection if it is idle, otherwise another idle or a new connection. */
  acquire: (wanted?: ServerConnection) => ServerConnection
  /** Opens a new connection. Without room, it takes the place of an idle one. */
  open: () => ServerConnection
  /** Whether a connection is idle, the wanted one if it is given, or another one may be opened. */
  hasLeft: (wanted?: ServerConnection) => boolean
  /** Whether a connection is idle. */
  hasIdle: () => boolean
  /** Whether a connection that was established before a time on the monotonic clock is still open. */
  hasOpenSince: (time: number) => boolean
  closeIdle: () => void
}

export interface CreateConnectionPoolOptions {
  address: () => string
  now: () => number
  onConnectionOpened: () => void
  connectionLimit: () => number
  /** Whether connections are still reused. */
  mayBeReused: () => boolean
}

/** A peer sees the end of a connection this much later at most, and counts it until then. */
const closingMilliseconds = 100

/** Creates a pool without connections. */
export function createConnectionPool (options: CreateConnectionPoolOptions): ConnectionPool {
  const idle: ServerConnection[] = []
  const connections = new Set<ServerConnection>()
  let closing = 0
  const recordClosing = (): void => {
    closing += 1
    setTimeout(() => { closing -= 1 }, closingMilliseconds).unref()
  }
  const hasRoom = (): boolean => connections.size + closing < options.connectionLimit()
  const removeIdle = (connection: ServerConnection): void => {
    const index = idle.indexOf(connection)
    if (index !== -1) idle.splice(index, 1)
  }
  const acquireIdle = (wanted: ServerConnection | undefined): ServerConnection | undefined => {
    if (wanted === undefined || !idle.includes(wanted)) return idle.pop()
    removeIdle(wanted)
    return wanted
  }
  const open = (): ServerConnection => {
    if (!hasRoom()) idle.shift()?.close()
    const connection = createServerConnection({
      address: options.address(),
      onIdle: () => {
        if (options.mayBeReused()) idle.push(connection)
        else connection.close()
      },
      onClosed: () => {
        if (connections.delete(connection) && connection.wasUsed()) recordClosing()
        removeIdle(connection)
      },
      onOpened: options.onConnectionOpened,
      now: options.now
    })
    connections.add(connection)
    return connection
  }
  return {
    acquire: wanted => acquireIdle(wanted) ?? open(),
    open,
    hasLeft: wanted => wanted === undefined ? idle.length > 0 || hasRoom() : idle.includes(wanted) || hasRoom(),
    hasIdle: () => idle.length > 0,
    hasOpenSince: time => [...connections].some(connection => connection.isOpenSince(time)),
    closeIdle: () => idle.splice(0).forEach(connection => connection.close())
  }
}
