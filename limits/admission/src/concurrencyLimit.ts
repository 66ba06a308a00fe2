// The number of requests that one entry host keeps in flight to a service. Each shed lowers it by
// 5 %. Each request that finishes while the limit is in use raises it by a step that grows with the
// square root of the limit. The two balance at a shed share of 20 % for a limit of 4 and less for
// larger limits. A host with a larger limit therefore shrinks faster, which makes the shares even.

const shedDecrease = 0.05
/**
 * Measured at 1.5 times capacity (test/overloadRun.ts, server queues of 3): 0.05 gave a goodput of 88 to
 * 90 % of capacity, 0.2 gives 97 % at limits of 8 to 12, with sheds in 9 % of the sends. Resends after
 * sheds are taken from the retry budget of 10 %, so larger values have requests refused after a shed.
 */
const balancedShedShare = 0.2
const balancedLimit = 4
const growthFactor = shedDecrease * balancedShedShare * Math.sqrt(balancedLimit)
/** Four times the finishes that lie between two sheds in balance. Past it the limit is well below what the servers take. */
const quietFinishesFactor = 4 / (balancedShedShare * Math.sqrt(balancedLimit))
const quietGrowth = 4

const lateDecrease = 0.1
/** A request is late when it used more than this share of the deadline that it had on admission. */
const lateDeadlineShare = 0.5
const lateShareThreshold = 0.2
/** A service that is slow by nature is not limited for its usual latency. */
const lateBaselineFactor = 2

const latencyWeight = 1 / 16
const baselineWeight = 1 / 2_048
const minimumLimit = 1

export interface ConcurrencyLimit {
  value: number
  maximum: number
  meanLatency: number
  /** Mean absolute deviation of the latency. */
  latencyDeviation: number
  /** The latency without overload: follows a lower mean at once and a higher one slowly. */
  baselineLatency: number
  lateShare: number
  lateDecreaseAt: number
  finishesSinceShed: number
}

/** Creates a limit. It finds its level within a few sheds, so `initial` may be generous. */
export function createConcurrencyLimit (initial: number, maximum: number): ConcurrencyLimit {
  return {
    value: Math.min(Math.max(initial, minimumLimit), maximum),
    maximum,
    meanLatency: 0,
    latencyDeviation: 0,
    baselineLatency: 0,
    lateShare: 0,
    lateDecreaseAt: -Infinity,
    finishesSinceShed: 0
  }
}

const lower = (limit: ConcurrencyLimit, share: number): void => {
  limit.value = Math.max(minimumLimit, limit.value * (1 - share))
}

/** Takes note of a shed. */
export function lowerAfterShed (limit: ConcurrencyLimit): void {
  limit.finishesSinceShed = 0
  lower(limit, shedDecrease)
}

const grow = (limit: ConcurrencyLimit): void => {
  const root = Math.sqrt(limit.value)
  const factor = limit.finishesSinceShed > quietFinishesFactor * root ? quietGrowth : 1
  limit.value = Math.min(limit.maximum, limit.value + growthFactor * root * factor)
}

const noteLatency = (limit: ConcurrencyLimit, latency: number): void => {
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

export interface FinishedExchange {
  latency: number
  /** Time left until the deadline on admission. */
  allowed: number
  /** Whether the limit kept, or nearly kept, further requests back. */
  limitInUse: boolean
  now: number
}

/** Takes note of a finished exchange. */
export function adaptAfterFinish (limit: ConcurrencyLimit, { latency, allowed, limitInUse, now }: FinishedExchange): void {
  noteLatency(limit, latency)
  limit.finishesSinceShed += 1
  const late = latency > allowed * lateDeadlineShare
  limit.lateShare += ((late ? 1 : 0) - limit.lateShare) * latencyWeight
  const overloaded = limit.lateShare > lateShareThreshold && limit.meanLatency > limit.baselineLatency * lateBaselineFactor
  if (overloaded) {
    // One step per round trip: requests already in flight cannot react sooner.
    if (now - limit.lateDecreaseAt < limit.meanLatency) return
    limit.lateDecreaseAt = now
    lower(limit, lateDecrease)
  } else if (limitInUse && !late) grow(limit)
}
