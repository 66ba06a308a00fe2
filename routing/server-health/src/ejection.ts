// Ejects servers that fail or are much slower than the rest. At most a third of the servers of a service is
// ejected at any time: if more appear unhealthy, the cause is probably not the servers, and ejecting them
// would overload the remaining ones.
import { EjectionReason, HealthCommandKind, type HealthCommand, type ServerHealth, type ServerHealthState } from './healthState.js'

const consecutiveFailuresLimit = 5
// A noisy neighbour that uses two thirds of the processor slows a server by a factor of 3, below this factor of 4.
const stragglerLogLatencyRatio = Math.log(4)
const stragglerDurationMilliseconds = 300
const minimumStragglerSamples = 5
const minimumEjectionMilliseconds = 1_000
const maximumEjectionMilliseconds = 30_000
const ejectionAttemptIntervalMilliseconds = 250
const latencySmoothingFactor = 0.2
// Step of the running median, as a natural logarithm: 50 samples move it by a factor of e.
const medianStep = 0.02

/** Returns how many servers may be ejected: a third of those that are not leaving. */
export function computeEjectionLimit (state: ServerHealthState): number {
  return Math.floor([...state.servers.values()].filter(({ leaving }) => leaving === undefined).length / 3)
}

/** Lists the servers that are ejected. Leaving servers are not counted, because they get no requests anyway. */
export function listEjected (state: ServerHealthState, now: number): ServerHealth[] {
  return [...state.servers.values()].filter(({ leaving, ejectedUntil }) => leaving === undefined && ejectedUntil > now)
}

/** Records a failure and ejects the server after several consecutive ones. */
export function recordFailure (state: ServerHealthState, health: ServerHealth, now: number): HealthCommand[] {
  health.consecutiveFailures += 1
  return health.consecutiveFailures >= consecutiveFailuresLimit ? tryEject(state, health, EjectionReason.ConsecutiveFailures, now) : []
}

/** Records the latency of a response and ejects a server that stays far above the median latency of its service. */
export function recordLatency (state: ServerHealthState, health: ServerHealth, latencyMilliseconds: number, now: number): HealthCommand[] {
  const logLatency = Math.log(Math.max(latencyMilliseconds, 0.01))
  health.latencySamples += 1
  health.smoothedLogLatency += (logLatency - health.smoothedLogLatency) * Math.max(latencySmoothingFactor, 1 / health.latencySamples)
  const median = state.medianLogLatency ?? logLatency
  state.medianLogLatency = median + Math.sign(logLatency - median) * medianStep
  if (health.smoothedLogLatency - median < stragglerLogLatencyRatio) {
    health.stragglingSince = undefined
    return []
  }
  health.stragglingSince ??= now
  const sustained = now - health.stragglingSince >= stragglerDurationMilliseconds && health.latencySamples >= minimumStragglerSamples
  return sustained ? tryEject(state, health, EjectionReason.SustainedStraggling, now) : []
}

/** Reinstates servers while more than a third is ejected, which occurs when other servers leave. */
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
  if (health.leaving !== undefined || health.ejectedUntil > now || health.nextEjectionAttemptAt > now) return []
  health.nextEjectionAttemptAt = now + ejectionAttemptIntervalMilliseconds
  if (listEjected(state, now).length >= computeEjectionLimit(state)) return []
  // The ejection time resets to its minimum once the server was healthy for the maximum ejection time.
  const isRepeated = now - health.ejectedUntil < maximumEjectionMilliseconds
  health.ejections = isRepeated ? health.ejections + 1 : 1
  health.ejectedUntil = now + Math.min(maximumEjectionMilliseconds, minimumEjectionMilliseconds * 2 ** (health.ejections - 1))
  health.slowStartFrom = health.ejectedUntil
  health.consecutiveFailures = 0
  health.latencySamples = 0
  health.stragglingSince = undefined
  return [{ kind: HealthCommandKind.Eject, server: health.name, reason, untilMilliseconds: health.ejectedUntil }]
}
