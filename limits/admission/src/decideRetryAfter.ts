// Decides when a refused guest may return. It returns while its target latency can still be met, since the load of servers
// changes many times per second, and at a random time, so that guests refused together do not return in one wave. If the
// target can no longer be met, it returns later, when the load may have ended.

export interface DecideRetryAfterOptions {
  /** Milliseconds until the target latency, counted from the guest's first attempt. */
  targetLeftMilliseconds: number
  serviceTimeMilliseconds: number
  /** Milliseconds until the guest's deadline. */
  remainingMilliseconds: number
  random: () => number
}

/** Servers that were full a moment ago still are. */
const minimumMilliseconds = 60
const maximumMilliseconds = 700
/** Guests ignore a longer time, relative to the time that they have left. */
const maximumRemainingRatio = 1 / 3
/** Reserve for the travel time and for a server that is not idle, as a multiple of the service time. */
const serviceTimeReserve = 1.2
const earliestRatio = 0.4

/** Returns the milliseconds after which the guest may return. */
export function decideRetryAfter ({ targetLeftMilliseconds, serviceTimeMilliseconds, remainingMilliseconds, random }: DecideRetryAfterOptions): number {
  const longest = Math.min(maximumMilliseconds, remainingMilliseconds * maximumRemainingRatio)
  const latestInTime = targetLeftMilliseconds - serviceTimeReserve * serviceTimeMilliseconds
  const latest = latestInTime >= minimumMilliseconds ? Math.min(latestInTime, longest) : longest
  return Math.max(minimumMilliseconds, latest * (earliestRatio + (1 - earliestRatio) * random()))
}
