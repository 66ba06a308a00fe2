// Whether a request is sent although the best server would take long. Work that would end late fills slots
// that would serve others in time, so a request that can't be answered within its target latency is
// refused at once, and its guest told when to come back. The most important requests of a service are
// sent as long as their answer comes before their deadline.

export interface AdmissionQuestion {
  /** Milliseconds that the best server would take. */
  estimate: number
  /** Milliseconds since the request arrived. */
  elapsed: number
  targetLatencyMilliseconds: number
  /** Milliseconds until the final answer is due. */
  left: number
  /** Whether other requests of the service are more important. */
  isLessImportant: boolean
}

export interface AdmissionAnswer {
  admitted: boolean
  retryAfterMilliseconds: number
}

/** A late answer is worth little, and the estimate is uncertain: up to this share of the target it is admitted. */
const targetShare = 1.1
const shortestRetryAfterMilliseconds = 60
const longestRetryAfterMilliseconds = 400

/** Decides on one request. */
export function decideAdmission (question: AdmissionQuestion): AdmissionAnswer {
  const limit = question.isLessImportant
    ? Math.min(question.left, targetShare * question.targetLatencyMilliseconds - question.elapsed)
    : question.left
  const excess = question.estimate - limit
  return {
    admitted: excess <= 0,
    retryAfterMilliseconds: Math.min(longestRetryAfterMilliseconds, Math.max(shortestRetryAfterMilliseconds, excess))
  }
}
