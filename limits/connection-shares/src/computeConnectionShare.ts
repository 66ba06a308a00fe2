// The number of connections that one entry host may have open to a server. The connections that a
// server accepts are shared among the live entry hosts, less a reserve.
//
// Hosts see one another come and go at different moments. A host therefore lowers its share as soon as
// it sees more hosts, raises it only after it has seen fewer for a while, and takes a share of the
// reserve instead of a full one until the others must have seen it. The sum stays within what the
// server accepts if newcomers are at most a quarter of the hosts and the others reduce in time. If there
// are more hosts than connections, each still gets one.

const reserveShare = 0.1
const newcomerShareOfHosts = 0.25
/** Heartbeats spread within 3 s; the rest lets the other hosts close what they have too many. */
const newcomerMilliseconds = 10_000
/** A host that is suspected after 3 s may only have been paused, and is dropped after 30 s. */
const raiseDelayMilliseconds = 30_000

export interface ConnectionShareState {
  startedAt: number
  /** Counts of live hosts that still matter: each is greater than all later ones. */
  counts: Array<{ liveHosts: number, lastSeenAt: number }>
}

/** Creates the state of one entry host. */
export function createConnectionShareState (now: number): ConnectionShareState {
  return { startedAt: now, counts: [] }
}

/** Takes note of the number of live entry hosts, this one included. Called when it changes and every second or so. */
export function recordLiveHosts (state: ConnectionShareState, liveHosts: number, now: number): void {
  state.counts = [
    ...state.counts.filter(count => count.liveHosts > liveHosts && now - count.lastSeenAt < raiseDelayMilliseconds),
    { liveHosts, lastSeenAt: now }
  ]
}

export interface ComputeConnectionShareOptions {
  state: ConnectionShareState
  /** What the server accepts, `connections` of the bundle. */
  connections: number
  now: number
}

/** Gives the connections that this host may have open to a server, at least 1. */
export function computeConnectionShare ({ state, connections, now }: ComputeConnectionShareOptions): number {
  const liveHosts = Math.max(1, state.counts[0]?.liveHosts ?? 1)
  const isNewcomer = now - state.startedAt < newcomerMilliseconds
  const share = isNewcomer
    ? connections * reserveShare / Math.ceil(liveHosts * newcomerShareOfHosts)
    : connections * (1 - reserveShare) / liveHosts
  return Math.max(1, Math.floor(share))
}
