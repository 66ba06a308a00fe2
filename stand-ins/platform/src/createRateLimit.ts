// A token bucket that admits a request while any tokens are left; the balance may become negative. This
// admits a transaction of many rows even if it costs more than the capacity of the bucket.

const burstSeconds = 0.5

/** Acquires `cost` tokens at `now` milliseconds; returns false if no tokens are left. */
export type RateLimit = (cost: number, now: number) => boolean

/** Creates a rate limit with a full bucket, which is refilled with `perSecond` tokens a second. */
export function createRateLimit (perSecond: number): RateLimit {
  const capacity = Math.max(1, perSecond * burstSeconds)
  let tokens = capacity
  let refilledAt = -Infinity
  return (cost, now) => {
    tokens = Math.min(capacity, tokens + Math.max(0, now - refilledAt) * perSecond / 1_000)
    refilledAt = now
    if (tokens <= 0) return false
    tokens -= cost
    return true
  }
}
