// Admission control by expected latency. A request that would exceed its target latency occupies a slot that
// could serve another request in time, so it is refused at once with a retry-after time. Requests with a higher
// priority get a larger latency allowance. The latency counts from the guest's first attempt, so a returning request whose
// target has passed cannot displace one that can be completed in time. No request is refused while there is
// spare capacity, because an overestimated latency would otherwise never be corrected by new measurements.

export enum RequestPriority {
  /** Other requests of the service have a higher priority. */
  Lower = 'less',
  /** No request of the service has a higher priority. */
  Highest = 'most'
}

export interface DecideAdmissionOptions {
  /** Expected milliseconds until the best server has responded. */
  estimatedLatencyMilliseconds: number
  /** Milliseconds since the guest's first attempt. */
  elapsedMilliseconds: number
  targetLatencyMilliseconds: number
  /** Milliseconds until the deadline of the response. */
  remainingMilliseconds: number
  priority: RequestPriority
  /** Whether a server has a free slot and the service is not overloaded. */
  hasSpareCapacity: boolean
}

/** Latency allowance as a multiple of the target latency. */
const targetLatencyFactors: Record<RequestPriority, number> = {
  [RequestPriority.Lower]: 0.9,
  [RequestPriority.Highest]: 1.1
}

/** Decides whether a request is admitted. */
export function decideAdmission ({ estimatedLatencyMilliseconds, elapsedMilliseconds, targetLatencyMilliseconds, remainingMilliseconds, priority, hasSpareCapacity }: DecideAdmissionOptions): boolean {
  const limit = Math.min(remainingMilliseconds, targetLatencyFactors[priority] * targetLatencyMilliseconds - elapsedMilliseconds)
  return hasSpareCapacity || estimatedLatencyMilliseconds <= limit
}
