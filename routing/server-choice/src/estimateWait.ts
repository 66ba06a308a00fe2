// How long a new request would take at a server, relative to the service's mean, from what is known:
// the last report, decayed by its age toward the mean load, the host's own requests since, and the
// latency that this host observed.
import type { ServerChoiceState, ServerLoad } from './choiceState.js'

// An observed latency loses its weight evenly over this time without a response. A power of the ratio with an
// exponential loss gave the same p99 at twice the cost.
const latencyLifetimeMilliseconds = 4_000

/** Requests that the server probably has now. Own requests are certain, so it is never below them. */
export function estimateInFlight (state: ServerChoiceState, load: ServerLoad, now: number): number {
  const lifetime = state.tuning.reportLifetimeInLatencies * state.meanLatencyMilliseconds
  const confidence = Math.exp((load.reportedAt - now) / lifetime)
  const mean = state.meanLoadPerSlot * load.slots
  const reported = confidence === 0 ? mean : mean + (load.reportedInFlight + load.ownChange - mean) * confidence
  return Math.max(reported, load.ownInFlight)
}

/** The expected wait in no particular unit; smaller is better. */
export function estimateWait (state: ServerChoiceState, load: ServerLoad, now: number): number {
  return (estimateInFlight(state, load, now) + 1) / load.slots * relativeLatency(state, load, now)
}

function relativeLatency (state: ServerChoiceState, load: ServerLoad, now: number): number {
  if (load.latencyMilliseconds === undefined || state.tuning.latencyWeight === 0) return 1
  const confidence = Math.max(0, 1 - (now - load.latencySeenAt) / latencyLifetimeMilliseconds) * state.tuning.latencyWeight
  return 1 + (load.latencyMilliseconds / state.meanLatencyMilliseconds - 1) * confidence
}
