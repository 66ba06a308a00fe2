// Paces the permits of one server at the rate of its limit. A permit covers one request or health check.

export interface PermitPacing {
  /** When the permits handed out so far would be used up at the current rate, in milliseconds of the monotonic clock. */
  scheduledAt: number
  /** Rate at which they were handed out; 0 before the first one. */
  permitsPerSecond: number
}

export interface PermitSchedule {
  /** When the next permit is due; in the past if it has been due for some time. */
  dueAt: number
  intervalMilliseconds: number
}

/** A server that takes nothing still gets a request in this time, whose response shows whether its limit has ended. */
const trialIntervalMilliseconds = 5_000
/** From this rate on, one permit may be handed out early, so that uneven demand does not waste permits. */
const minimumRateForEarlyPermit = 1

/** Creates a pacing from which the first permit is due at once. */
export function createPermitPacing (): PermitPacing {
  return { scheduledAt: -Infinity, permitsPerSecond: 0 }
}

/** Returns when the next permit is due. `share` is the fraction of the limit that may be used, above 0 and up to 1. */
export function schedulePermit (pacing: PermitPacing, requestsPerSecond: number, share: number, now: number): PermitSchedule {
  const permitsPerSecond = Math.max(requestsPerSecond, 1_000 / trialIntervalMilliseconds) * share
  const intervalMilliseconds = 1_000 / permitsPerSecond
  // With a new rate, the latest permit counts as handed out at that rate.
  if (permitsPerSecond !== pacing.permitsPerSecond && pacing.permitsPerSecond > 0) pacing.scheduledAt = Math.min(pacing.scheduledAt, now + intervalMilliseconds)
  pacing.permitsPerSecond = permitsPerSecond
  const toleranceMilliseconds = permitsPerSecond >= minimumRateForEarlyPermit ? intervalMilliseconds : 0
  return { dueAt: pacing.scheduledAt - toleranceMilliseconds, intervalMilliseconds }
}

/** Takes the permit that is due at a time, which may lie ahead. */
export function takePermit (pacing: PermitPacing, { dueAt, intervalMilliseconds }: PermitSchedule, now: number): void {
  pacing.scheduledAt = Math.max(pacing.scheduledAt, now, dueAt) + intervalMilliseconds
}
