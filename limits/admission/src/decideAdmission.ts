// Whether a request is sent although the best server would take long. Work that would end late fills slots
// that would serve others in time, so a request that can't be answered within its target latency is
// refused at once, and its guest told when to come back. More important requests are given more time. A
// guest that comes back after a refusal is late already, so it is sent while servers are nearly idle and
// does not take the place of one that can be answered in time. While there is room nobody is refused: an
// estimate that is too long would otherwise never be corrected.

export enum Importance {
  /** Other requests of the service are more important. */
  Less = 'less',
  /** No request of the service is more important. */
  Most = 'most',
  /** A guest that was refused before; its target latency counts from its first attempt. */
  ComesBack = 'comes-back'
}

export interface AdmissionQuestion {
  /** Milliseconds that the best server would take. */
  estimate: number
  /** Milliseconds since the request arrived. */
  elapsed: number
  targetLatencyMilliseconds: number
  /** Milliseconds until the final answer is due. */
  left: number
  importance: Importance
  /** Whether a server has a free slot and the service is not short of them. */
  hasRoom: boolean
}

export interface AdmissionAnswer {
  admitted: boolean
  retryAfterMilliseconds: number
}

/** The time that a request may take, as a multiple of its target latency. */
const targetShares: Record<Importance, number> = {
  [Importance.Less]: 0.9,
  [Importance.Most]: 1.1,
  [Importance.ComesBack]: 0.75
}
/** A refused guest comes back once the queues of the moment have been served. */
const shortestRetryAfterMilliseconds = 250
const longestRetryAfterMilliseconds = 700

/** Decides on one request. */
export function decideAdmission ({ estimate, elapsed, targetLatencyMilliseconds, left, importance, hasRoom }: AdmissionQuestion): AdmissionAnswer {
  const limit = Math.min(left, targetShares[importance] * targetLatencyMilliseconds - elapsed)
  const excess = estimate - limit
  return {
    admitted: hasRoom || excess <= 0,
    retryAfterMilliseconds: Math.min(longestRetryAfterMilliseconds, shortestRetryAfterMilliseconds + Math.max(0, excess))
  }
}
