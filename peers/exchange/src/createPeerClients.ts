// A cache of peer clients by address. A client that is not used for a while, or that is the least
// recently used of too many, is closed.
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

/** A cache of peer clients. */
export interface PeerClients {
  get: (address: string) => PeerClient
  /** Closes idle clients; called from time to time by the owner. */
  dropIdle: () => void
  size: () => number
  closeAll: () => void
}

/** Creates an empty cache. */
export function createPeerClients ({ key, timeoutMilliseconds, now, idleMilliseconds = limits.clientIdleMilliseconds, maximumClients = limits.maximumCachedClients }: CreatePeerClientsOptions): PeerClients {
  // A map keeps the order of insertion, so the first entry is the least recently used one.
  const entries = new Map<string, { client: PeerClient, usedAt: number }>()

  const drop = (address: string): void => {
    entries.get(address)?.client.close()
    entries.delete(address)
  }
  const dropIdle = (): void => {
    const oldestUse = now() - idleMilliseconds
    Array.from(entries).filter(([, { usedAt }]) => usedAt < oldestUse).forEach(([address]) => { drop(address) })
  }

  return {
    get: address => {
      const client = entries.get(address)?.client ?? createPeerClient({ address, key, timeoutMilliseconds })
      entries.delete(address)
      entries.set(address, { client, usedAt: now() })
      const [oldest] = entries.keys()
      if (entries.size > maximumClients && oldest !== undefined) drop(oldest)
      return client
    },
    dropIdle,
    size: () => entries.size,
    closeAll: () => { Array.from(entries.keys()).forEach(drop) }
  }
}
