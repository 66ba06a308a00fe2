// LRU cache of peer clients by address. Clients are closed when they are idle or evicted.
import { createPeerClient, type PeerClient } from './createPeerClient.js'
import * as limits from './peerLimits.js'

export interface CreatePeerClientsOptions {
  key: string
  timeoutMilliseconds: number
  /** Monotonic milliseconds. */
  now: () => number
  idleMilliseconds?: number
  maximumClients?: number
}

/** Cache of peer clients. */
export interface PeerClients {
  get: (address: string) => PeerClient
  /** Closes idle clients. The owner must call it periodically. */
  closeIdle: () => void
  size: () => number
  closeAll: () => void
}

/** Creates an empty cache. */
export function createPeerClients ({ key, timeoutMilliseconds, now, idleMilliseconds = limits.clientSessionIdleMilliseconds, maximumClients = limits.maximumCachedClients }: CreatePeerClientsOptions): PeerClients {
  // A map keeps insertion order, and entries are reinserted on use, so the first entry is the least recently used.
  const entries = new Map<string, { client: PeerClient, usedAt: number }>()

  const closeClient = (address: string): void => {
    entries.get(address)?.client.close()
    entries.delete(address)
  }
  const closeIdle = (): void => {
    const oldestUse = now() - idleMilliseconds
    Array.from(entries).filter(([, { usedAt }]) => usedAt < oldestUse).forEach(([address]) => { closeClient(address) })
  }

  return {
    get: address => {
      const client = entries.get(address)?.client ?? createPeerClient({ address, key, timeoutMilliseconds })
      entries.delete(address)
      entries.set(address, { client, usedAt: now() })
      const [oldest] = entries.keys()
      if (entries.size > maximumClients && oldest !== undefined) closeClient(oldest)
      return client
    },
    closeIdle,
    size: () => entries.size,
    closeAll: () => { Array.from(entries.keys()).forEach(closeClient) }
  }
}
