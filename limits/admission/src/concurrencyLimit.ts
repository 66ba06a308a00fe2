// Adaptive limit on the requests that one entry host has in flight to a service. Each shed decreases the
// limit by 5 %. Each completion while the limit is in use increases it by a step proportional to the
// square root of the limit. Both balance at a shed ratio of 20 % for a limit of 4, and at a lower ratio
// for larger limits. Hosts with larger limits therefore decrease faster, so the limits of the hosts converge.

const shedDecreaseRatio = 0.05
/**
 * At 1.5 times capacity (test/simulateOverload.ts, server queues of 3), 0.05 gives a goodput of 88 to 90 % of
 * capacity; 0.2 gives 97 % at limits of 8 to 12, with 9 % of the sends shed. Retries after sheds count
 * against the retry budget of 10 %, so larger values would cause requests to be refused after a shed.
 */
const equilibriumShedRatio = 0.2
const equilibriumLimit = 4
const growthFactor = shedDecreaseRatio * equilibriumShedRatio * Math.sqrt(equilibriumLimit)
/** Four times the completions between two sheds at equilibrium. Beyond it, the limit is well below the server capacity. */
const fastGrowthCompletionsFactor = 4 / (equilibriumShedRatio * Math.sqrt(equilibriumLimit))
const fastGrowthMultiplier = 4

const lateDecreaseRatio = 0.1
/** A request is late if it took more than this fraction of the time that was left until its deadline on admission. */
const lateDeadlineRatio = 0.5
const overloadLateRatio = 0.2
/** A service that is always slow is not throttled: the mean latency must also exceed this multiple of the baseline. */
const overloadLatencyFactor = 2

const latencyWeight = 1 / 16
const baselineWeight = 1 / 2_048
const minimumLimit = 1

export interface ConcurrencyLimit {
  value: number
  maximum: number
  meanLatency: number
  /** Mean absolute deviation of the latency. */
  latencyDeviation: number
  /** Estimated latency without overload: drops to a lower mean at once and rises slowly. */
  baselineLatency: number
  lateRatio: number
  lastLateDecreaseAt: number
  completionsSinceShed: number
}

/** Creates a limit. `initial` may be too high, since the limit converges within a few sheds. */
export function createConcurrencyLimit (initial: number, maximum: number): ConcurrencyLimit {
  return {
    value: Math.min(Math.max(initial, minimumLimit), maximum),
    maximum,
    meanLatency: 0,
    latencyDeviation: 0,
    baselineLatency: 0,
    lateRatio: 0,
    lastLateDecreaseAt: -Infinity,
    completionsSinceShed: 0
  }
}

const decrease = (limit: ConcurrencyLimit, ratio: number): void => {
  limit.value = Math.max(minimumLimit, limit.value * (1 - ratio))
}

/** Decreases the limit after a shed. */
export function decreaseAfterShed (limit: ConcurrencyLimit): void {
  limit.completionsSinceShed = 0
  decrease(limit, shedDecreaseRatio)
}

const increase = (limit: ConcurrencyLimit): void => {
  const squareRoot = Math.sqrt(limit.value)
  const factor = limit.completionsSinceShed > fastGrowthCompletionsFactor * squareRoot ? fastGrowthMultiplier : 1
  limit.value = Math.min(limit.maximum, limit.value + growthFactor * squareRoot * factor)
}

const recordLatency = (limit: ConcurrencyLimit, latency: number): void => {
  if (limit.meanLatency === 0) {
    limit.meanLatency = limit.baselineLatency = latency
    limit.latencyDeviation = latency / 2
    return
  }
  const error = latency - limit.meanLatency
  limit.meanLatency += error * latencyWeight
  limit.latencyDeviation += (Math.abs(error) - limit.latencyDeviation) * latencyWeight
  const rise = limit.meanLatency - limit.baselineLatency
  limit.baselineLatency += rise > 0 ? rise * baselineWeight : rise
}

export interface CompletedExchange {
  latency: number
  /** Milliseconds from admission until the deadline. */
  allowedLatency: number
  /** Whether the limit was reached or nearly reached. */
  limitInUse: boolean
  now: number
}

/** Adapts the limit to the latency of a completed exchange. */
export function adaptAfterCompletion (limit: ConcurrencyLimit, { latency, allowedLatency, limitInUse, now }: CompletedExchange): void {
  recordLatency(limit, latency)
  limit.completionsSinceShed += 1
  const late = latency > allowedLatency * lateDeadlineRatio
  limit.lateRatio += ((late ? 1 : 0) - limit.lateRatio) * latencyWeight
  const overloaded = limit.lateRatio > overloadLateRatio && limit.meanLatency > limit.baselineLatency * overloadLatencyFactor
  if (overloaded) {
    // At most one decrease per mean latency: requests already in flight cannot reflect a decrease sooner.
    if (now - limit.lastLateDecreaseAt < limit.meanLatency) return
    limit.lastLateDecreaseAt = now
    decrease(limit, lateDecreaseRatio)
  } else if (limitInUse && !late) increase(limit)
}
