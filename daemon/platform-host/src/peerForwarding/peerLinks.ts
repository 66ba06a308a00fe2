// Connections to the hosts that forward requests for this one. A host that has not been used for a while is forgotten with its connections.
import { createConnectionPool, type ConnectionPool } from '../servers/connectionPool.js'

export interface PeerLinks {
  /** Returns the connections to a host, given by its peer address. */
  find: (address: string) => ConnectionPool
  /** Closes the connections to hosts that have not been used for a while. */
  closeUnused: () => void
  close: () => void
}

export interface CreatePeerLinksOptions {
  now: () => number
  onConnectionOpened: () => void
}

/** Bounds the connections to one host; a request that finds none is offered to another host. */
const maximumConnections = 64
const unusedMilliseconds = 5_000

/** Creates links to no host. */
export function createPeerLinks ({ now, onConnectionOpened }: CreatePeerLinksOptions): PeerLinks {
  const links = new Map<string, { pool: ConnectionPool, usedAt: number }>()
  let isClosed = false
  const drop = (address: string, pool: ConnectionPool): void => {
    links.delete(address)
    pool.closeIdle()
  }
  return {
    find: address => {
      const known = links.get(address)
      const pool: ConnectionPool = known?.pool ?? createConnectionPool({ address: () => address, now, onConnectionOpened, connectionLimit: () => maximumConnections, mayBeReused: () => !isClosed && links.get(address)?.pool === pool })
      links.set(address, { pool, usedAt: now() })
      return pool
    },
    closeUnused: () => links.forEach(({ pool, usedAt }, address) => { if (now() - usedAt > unusedMilliseconds) drop(address, pool) }),
    close: () => {
      isClosed = true
      links.forEach(({ pool }, address) => drop(address, pool))
    }
  }
}
