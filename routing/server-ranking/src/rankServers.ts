// Estimates when a server would have finished one more request, from its answer to a question that was
// asked milliseconds before, and ranks servers by it.
//
// A server shares its machine with others, so its pace changes many times a second. Work keeps the pace
// at which it starts, so a wait for a server of the usual pace is often shorter than work on a slow one.
import { wouldBeNearlyFull } from './fullnessFactor.js'

/** What a server says of itself. */
export interface ServerLoad {
  running: number
  waiting: number
  slots: number
  /** How long work takes at this moment; 1 is as usual. */
  pace: number
}

/** What one host knows of a server when it ranks it. */
export interface ServerView {
  load: ServerLoad
  /** Sends of this host that the load does not show yet. */
  unreported: number
  sameDataCentre: boolean
  /** Whether the server started a short time ago. */
  cold: boolean
  /** Share of this host's latest sends that failed there, 0 to 1. */
  failureShare: number
  /** How much longer work takes on servers of this service that are nearly full. */
  fullnessFactor: number
}

export interface RankedServer<Server> {
  server: Server
  /** Milliseconds until the answer, if the server answers. */
  estimate: number
  /** The estimate with what speaks against the server besides: its failures, its distance. Ranks the servers. */
  cost: number
  /** Whether the request would start at once. */
  hasRoom: boolean
}

const coldFactor = 2
/** Two trips between data centres, and a small preference for the own one while it has room. */
const otherDataCentreMilliseconds = 30
const highestFailureShare = 0.95

/** Milliseconds until a server would have answered one more request of `workMilliseconds`. */
export function estimateCompletion (view: ServerView, workMilliseconds: number): number {
  const { load } = view
  const slowed = (Math.max(1, load.pace) - 1) * workMilliseconds
  const occupied = load.running + load.waiting + view.unreported
  const ahead = Math.max(0, occupied + 1 - load.slots) / Math.max(1, load.slots)
  const fullness = wouldBeNearlyFull(occupied, load.slots) ? view.fullnessFactor : 1
  const work = workMilliseconds * (view.cold ? coldFactor : 1) * fullness
  const wait = ahead * (work + slowed)
  return work + slowed + wait
}

function weighCost (view: ServerView, estimate: number): number {
  return estimate / (1 - Math.min(highestFailureShare, view.failureShare)) + (view.sameDataCentre ? 0 : otherDataCentreMilliseconds)
}

/** Ranks servers, the best first. */
export function rankServers<Server> (views: Array<{ server: Server, view: ServerView }>, workMilliseconds: number): Array<RankedServer<Server>> {
  return views
    .map(({ server, view }) => {
      const estimate = estimateCompletion(view, workMilliseconds)
      return { server, estimate, cost: weighCost(view, estimate), hasRoom: view.load.running + view.load.waiting + view.unreported < view.load.slots }
    })
    .sort((first, second) => first.cost - second.cost)
}
