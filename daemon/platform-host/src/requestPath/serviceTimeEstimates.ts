// Estimates the median service time of each route from its responses. The median reflects normal requests even if a
// quarter of the servers are slow.
import { trackQuantile } from '@siskinbeam/server-ranking/trackQuantile'

const step = 0.08
/** Before the first response, the service time is assumed to be this ratio of the route's target latency. */
const assumedTargetRatio = 0.4

export interface ServiceTimeEstimates {
  read: (route: string, targetLatencyMilliseconds: number) => number
  record: (route: string, targetLatencyMilliseconds: number, milliseconds: number) => void
}

/** Creates estimates without samples. Times are in milliseconds. */
export function createServiceTimeEstimates (): ServiceTimeEstimates {
  const estimates = new Map<string, number>()
  const read = (route: string, targetLatencyMilliseconds: number): number => estimates.get(route) ?? targetLatencyMilliseconds * assumedTargetRatio
  return {
    read,
    record: (route, targetLatencyMilliseconds, milliseconds) => {
      estimates.set(route, trackQuantile({ estimate: read(route, targetLatencyMilliseconds), sample: milliseconds, quantile: 0.5, step }))
    }
  }
}
