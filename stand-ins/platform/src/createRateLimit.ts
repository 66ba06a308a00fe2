// A rate limit that lets a request pass while any allowance is left and may go into debt for it.
// A transaction of many rows thereby passes even if it costs more than the whole burst.

const burstSeconds = 0.5

/** Takes `cost` from the allowance at `now` milliseconds; false if nothing is left. */
export type RateLimit = (cost: number, now: number) => boolean

/** Creates a rate limit with a full allowance. */
export function createRateLimit (perSecond: number): RateLimit {
  const burst = Math.max(1, perSecond * burstSeconds)
  let allowance = burst
  let refilledAt = -Infinity
  return (cost, now) => {
    allowance = Math.min(burst, allowance + Math.max(0, now - refilledAt) * perSecond / 1_000)
    refilledAt = now
    if (allowance <= 0) return false
    allowance -= cost
    return true
  }
}
