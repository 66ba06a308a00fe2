// The share of normal traffic that a server may get now: 0 while it is leaving or ejected, rising from
// a tenth to 1 during slow start.
import type { ServerHealthState } from './healthState.js'

// A server that just started has cold caches; five seconds are several hundred requests at full weight.
export const slowStartMilliseconds = 5_000
const firstWeight = 0.1

/** The weight of a server in [0, 1]; 0 excludes it. Unknown servers are excluded. */
export function readServerWeight (state: ServerHealthState, server: string, now: number): number {
  const health = state.servers.get(server)
  if (health === undefined || health.leaving !== undefined || health.ejectedUntil > now) return 0
  return Math.min(1, firstWeight + (1 - firstWeight) * Math.max(0, now - health.slowStartFrom) / slowStartMilliseconds)
}
