// Hosts of other data centres that a host has learned of while it reached no server. They are forgotten soon, so that nothing is kept on a
// normal day.
import type { PeerHost } from './peerChoice.js'

export interface LearnedPeersState {
  peers: Map<string, { peer: PeerHost, learnedAt: number }>
}

/** Lists are asked for again several times within this time as long as they are needed. */
const lifetimeMilliseconds = 10_000
const maximumPeers = 64

/** Creates an empty state. */
export function createLearnedPeers (): LearnedPeersState {
  return { peers: new Map() }
}

/** Adds or renews hosts. The ones that were learned first are dropped if there are too many. */
export function learnPeers ({ peers }: LearnedPeersState, learned: readonly PeerHost[], now: number): void {
  learned.forEach(peer => {
    peers.delete(peer.name)
    peers.set(peer.name, { peer, learnedAt: now })
  })
  ;[...peers.keys()].slice(0, Math.max(0, peers.size - maximumPeers)).forEach(name => peers.delete(name))
}

/** Lists the hosts that were learned recently, and forgets the others. */
export function listLearnedPeers ({ peers }: LearnedPeersState, now: number): PeerHost[] {
  peers.forEach(({ learnedAt }, name) => { if (now - learnedAt > lifetimeMilliseconds) peers.delete(name) })
  return [...peers.values()].map(({ peer }) => peer)
}
