// Computes the number of connections that one entry host may have open to a server. The connections that
// a server accepts, less a reserve, are divided among the live entry hosts.
//
// Hosts detect membership changes at different times. A host therefore lowers its share as soon as it sees
// more hosts, and raises it only after it has seen fewer for a while. A new host gets a share of the reserve
// instead of a full share until the other hosts must have detected it. The sum does not exceed the connections
// that the server accepts if at most a quarter of the hosts are new and the others close connections in time. If
// there are more hosts than connections, each host still gets one.

const reserveRatio = 0.1
const maximumNewHostRatio = 0.25
/** Heartbeats reach all hosts within 3 s; the rest allows the other hosts to close their excess connections. */
const newHostMilliseconds = 10_000
/** A host that is excluded within 3 s may only have been paused; it is dropped from the membership after 30 s. */
const raiseDelayMilliseconds = 30_000

export interface ConnectionShareState {
  startedAt: number
  /** Counts of live hosts that are still relevant; each is greater than all later ones. */
  counts: Array<{ liveHosts: number, lastSeenAt: number }>
}

/** Creates the state of one entry host. */
export function createConnectionShareState (now: number): ConnectionShareState {
  return { startedAt: now, counts: [] }
}

/** Records the number of live entry hosts, including this one. Call it on every change and about every second. */
export function recordLiveHosts (state: ConnectionShareState, liveHosts: number, now: number): void {
  state.counts = [
    ...state.counts.filter(count => count.liveHosts > liveHosts && now - count.lastSeenAt < raiseDelayMilliseconds),
    { liveHosts, lastSeenAt: now }
  ]
}

export interface ComputeConnectionShareOptions {
  state: ConnectionShareState
  /** The number of connections that the server accepts, `connections` of the bundle. */
  connections: number
  now: number
}

/** Returns the number of connections that this host may have open to a server, at least 1. */
export function computeConnectionShare ({ state, connections, now }: ComputeConnectionShareOptions): number {
  const liveHosts = Math.max(1, state.counts[0]?.liveHosts ?? 1)
  const isNewHost = now - state.startedAt < newHostMilliseconds
  const share = isNewHost
    ? connections * reserveRatio / Math.ceil(liveHosts * maximumNewHostRatio)
    : connections * (1 - reserveRatio) / liveHosts
  return Math.max(1, Math.floor(share))
}
