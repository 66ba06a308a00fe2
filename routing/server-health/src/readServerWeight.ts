// Computes the share of normal traffic that a server may get: 0 while it is leaving or ejected, rising from
// 0.1 to 1 during slow start.
import type { ServerHealthState } from './healthState.js'

// A server that has just started has cold caches; five seconds are several hundred requests at full weight.
export const slowStartMilliseconds = 5_000
const initialWeight = 0.1

/** Returns the weight of a server in [0, 1]. A weight of 0 excludes the server; unknown servers are excluded. */
export function readServerWeight (state: ServerHealthState, server: string, now: number): number {
  const health = state.servers.get(server)
  if (health === undefined || health.leaving !== undefined || health.ejectedUntil > now) return 0
  return Math.min(1, initialWeight + (1 - initialWeight) * Math.max(0, now - health.slowStartFrom) / slowStartMilliseconds)
}
