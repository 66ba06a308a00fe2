// Ejection of servers that fail or straggle. At most a third of a service is ejected at any time: if
// more look unhealthy, the cause is likely elsewhere, and the rest would be overloaded.
import { EjectionReason, HealthCommandKind, type HealthCommand, type ServerHealth, type ServerHealthState } from './healthState.js'

const consecutiveFailuresLimit = 5
// Four times the median cannot be reached by a neighbour that takes two thirds of the processor.
const stragglingFactorLogarithm = Math.log(4)
const stragglingMilliseconds = 300
const stragglingSamples = 5
const shortestEjectionMilliseconds = 1_000
const longestEjectionMilliseconds = 30_000
const ejectionRetryMilliseconds = 250
const smoothing = 0.2
// Step of the running median in units of the logarithm: 50 samples move it by a factor of e.
const medianStep = 0.02

/** The largest number of servers that may be ejected among those not leaving. */
export function computeEjectionLimit (state: ServerHealthState): number {
  return Math.floor([...state.servers.values()].filter(({ leaving }) => leaving === undefined).length / 3)
}

/** The servers that are ejected now; a leaving server doesn't count, for it gets no work anyway. */
export function listEjected (state: ServerHealthState, now: number): ServerHealth[] {
  return [...state.servers.values()].filter(({ leaving, ejectedUntil }) => leaving === undefined && ejectedUntil > now)
}

/** Notes a failure and ejects after several in a row. */
export function noteFailure (state: ServerHealthState, health: ServerHealth, now: number): HealthCommand[] {
  health.consecutiveFailures += 1
  return health.consecutiveFailures >= consecutiveFailuresLimit ? tryEject(state, health, EjectionReason.ConsecutiveFailures, now) : []
}

/** Notes the latency of a response and ejects a server that stays far above the median of its service. */
export function noteLatency (state: ServerHealthState, health: ServerHealth, latencyMilliseconds: number, now: number): HealthCommand[] {
  const logLatency = Math.log(Math.max(latencyMilliseconds, 0.01))
  health.latencySamples += 1
  health.smoothedLogLatency += (logLatency - health.smoothedLogLatency) * Math.max(smoothing, 1 / health.latencySamples)
  const median = state.medianLogLatency ?? logLatency
  state.medianLogLatency = median + Math.sign(logLatency - median) * medianStep
  if (health.smoothedLogLatency - median < stragglingFactorLogarithm) {
    health.slowSince = undefined
    return []
  }
  health.slowSince ??= now
  const sustained = now - health.slowSince >= stragglingMilliseconds && health.latencySamples >= stragglingSamples
  return sustained ? tryEject(state, health, EjectionReason.SustainedStraggling, now) : []
}

/** Reinstates servers while more than a third is ejected, which happens when others leave. */
export function enforceEjectionLimit (state: ServerHealthState, now: number): HealthCommand[] {
  return listEjected(state, now)
    .sort((first, second) => second.ejectedUntil - first.ejectedUntil)
    .slice(computeEjectionLimit(state))
    .map(health => {
      health.ejectedUntil = now
      health.slowStartFrom = now
      return { kind: HealthCommandKind.Reinstate, server: health.name }
    })
}

function tryEject (state: ServerHealthState, health: ServerHealth, reason: EjectionReason, now: number): HealthCommand[] {
  if (health.leaving !== undefined || health.ejectedUntil > now || health.nextEjectionAt > now) return []
  health.nextEjectionAt = now + ejectionRetryMilliseconds
  if (listEjected(state, now).length >= computeEjectionLimit(state)) return []
  // A server that behaved well for as long as the longest ejection starts again with the shortest.
  const relapsed = now - health.ejectedUntil < longestEjectionMilliseconds
  health.ejections = relapsed ? health.ejections + 1 : 1
  health.ejectedUntil = now + Math.min(longestEjectionMilliseconds, shortestEjectionMilliseconds * 2 ** (health.ejections - 1))
  health.slowStartFrom = health.ejectedUntil
  health.consecutiveFailures = 0
  health.latencySamples = 0
  health.slowSince = undefined
  return [{ kind: HealthCommandKind.Eject, server: health.name, reason, untilMilliseconds: health.ejectedUntil }]
}
