// Estimates how long a new request would take at a server relative to the mean of the service. Inputs are the
// latest load report, which decays with its age towards the mean load, the host's own requests since that
// report, and the latency measured by this host.
import type { ServerChoiceState, ServerStatistics } from './choiceState.js'

// The weight of a measured latency decreases linearly to 0 over this time without a response. A power of the
// ratio with exponential decay has the same p99 at twice the cost.
const latencyLifetimeMilliseconds = 4_000

/** Estimates the current in-flight requests of a server. The host's own in-flight requests are a lower bound. */
export function estimateInFlight (state: ServerChoiceState, load: ServerStatistics, now: number): number {
  const lifetime = state.tuning.reportLifetimeInLatencies * state.meanLatencyMilliseconds
  const confidence = Math.exp((load.reportedAt - now) / lifetime)
  const mean = state.meanLoadPerSlot * load.slots
  const reported = confidence === 0 ? mean : mean + (load.reportedInFlight + load.ownInFlightDelta - mean) * confidence
  return Math.max(reported, load.ownInFlight)
}

/** Returns the expected wait in an arbitrary unit; smaller is better. */
export function estimateWait (state: ServerChoiceState, load: ServerStatistics, now: number): number {
  return (estimateInFlight(state, load, now) + 1) / load.slots * relativeLatency(state, load, now)
}

function relativeLatency (state: ServerChoiceState, load: ServerStatistics, now: number): number {
  if (load.latencyMilliseconds === undefined || state.tuning.latencyWeight === 0) return 1
  const confidence = Math.max(0, 1 - (now - load.latencyUpdatedAt) / latencyLifetimeMilliseconds) * state.tuning.latencyWeight
  return 1 + (load.latencyMilliseconds / state.meanLatencyMilliseconds - 1) * confidence
}
