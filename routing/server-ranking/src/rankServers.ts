// Estimates from a server's response to a probe, which is milliseconds old, when the server would complete one
// more request, and ranks servers by this estimate.
//
// A server shares its machine with other workloads, so its slowdown changes many times per second. A
// request keeps the slowdown at which it started, so queueing at a server of normal speed is often faster than
// running at once on a slow one.
import { wouldBeNearSaturation } from './saturationSlowdown.js'

/** Load of a server as reported in its response to a probe. */
export interface ProbedLoad {
  running: number
  waiting: number
  slots: number
  /** Current slowdown: service time relative to the usual service time, which is 1. */
  slowdown: number
}

/** A host's knowledge of a server at the time of ranking. */
export interface ServerView {
  load: ProbedLoad
  /** Requests sent by this host that the reported load does not include yet. */
  unreportedRequests: number
  sameDataCentre: boolean
  /** Whether the server started recently. */
  cold: boolean
  /** Ratio of the most recent requests to the server that failed, 0 to 1. */
  failureRatio: number
  /** Slowdown factor of nearly saturated servers of this service. */
  saturationSlowdown: number
}

export interface RankedServer<Server> {
  server: Server
  /** Expected milliseconds until the response, provided that the server responds. */
  estimate: number
  /** The estimate in milliseconds with a penalty for failures. */
  adjustedEstimate: number
  /** Ranking key in milliseconds: the adjusted estimate with a penalty for a remote data centre. */
  cost: number
  /** Whether the server has a free slot, so that the request would start immediately. */
  hasFreeSlot: boolean
}

const coldStartSlowdown = 2
/** Covers two trips between data centres, plus a small preference for the own data centre while it has free slots. */
const remoteDataCentrePenaltyMilliseconds = 30
const maximumFailureRatio = 0.95
/** A late response is worth more than a request to a server that fails more than this. */
const usableFailureRatio = 0.85
/** Exponent of the success ratio: a failed request that can be repeated costs another attempt, any other is lost. */
const failurePenaltyExponent = { repeatable: 1, other: 3 }

export interface RankServersOptions {
  serviceTimeMilliseconds: number
  /** Whether the request can be sent to another server if this one fails it. */
  isRepeatable: boolean
  /** Time that is left of the request's target latency. */
  targetLeftMilliseconds: number
}

/** Estimates the milliseconds until a server would respond to one more request of `serviceTimeMilliseconds`. */
export function estimateCompletion (view: ServerView, serviceTimeMilliseconds: number): number {
  const { load } = view
  const slowdownMilliseconds = (Math.max(1, load.slowdown) - 1) * serviceTimeMilliseconds
  const occupied = load.running + load.waiting + view.unreportedRequests
  const requestsAheadPerSlot = Math.max(0, occupied + 1 - load.slots) / Math.max(1, load.slots)
  const saturationSlowdown = wouldBeNearSaturation(occupied, load.slots) ? view.saturationSlowdown : 1
  const adjustedServiceTime = serviceTimeMilliseconds * (view.cold ? coldStartSlowdown : 1) * saturationSlowdown
  const wait = requestsAheadPerSlot * (adjustedServiceTime + slowdownMilliseconds)
  return adjustedServiceTime + slowdownMilliseconds + wait
}

function adjustForFailures (estimate: number, failureRatio: number, isRepeatable: boolean): number {
  const successRatio = 1 - Math.min(maximumFailureRatio, failureRatio)
  return estimate / successRatio ** (isRepeatable ? failurePenaltyExponent.repeatable : failurePenaltyExponent.other)
}

/** Ranks servers by ascending cost. Servers that would respond too late come last, as long as others may respond at all. */
export function rankServers<Server> (views: Array<{ server: Server, view: ServerView }>, { serviceTimeMilliseconds, isRepeatable, targetLeftMilliseconds }: RankServersOptions): Array<RankedServer<Server>> {
  const rank = ({ server, view }: { server: Server, view: ServerView }): { ranked: RankedServer<Server>, isLate: boolean } => {
    const estimate = estimateCompletion(view, serviceTimeMilliseconds)
    const adjustedEstimate = adjustForFailures(estimate, view.failureRatio, isRepeatable)
    return {
      ranked: {
        server,
        estimate,
        adjustedEstimate,
        cost: adjustedEstimate + (view.sameDataCentre ? 0 : remoteDataCentrePenaltyMilliseconds),
        hasFreeSlot: view.load.running + view.load.waiting + view.unreportedRequests < view.load.slots
      },
      isLate: estimate > targetLeftMilliseconds || view.failureRatio > usableFailureRatio
    }
  }
  return views.map(rank)
    .sort((first, second) => Number(first.isLate) - Number(second.isLate) || first.ranked.cost - second.ranked.cost)
    .map(({ ranked }) => ranked)
}
