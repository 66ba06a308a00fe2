// Checks that hosts leave servers alone that have told them that they leave, or for how long they want no requests. A restart or a pause
// of the host process excuses the host, and so does a fault between hosts and servers for the latter.
import { RunEvent, type RunLogEntry } from '@siskinbeam/stand-in-platform-server/runLogEntry'
import type { Disturbance } from './disturbance.js'
import type { ObservedRequest } from './observedRequest.js'
import { ViolationKind, type Violation } from './findViolations.js'
import { drainMilliseconds } from './startFleet.js'

export interface FindNoticeViolationsOptions {
  requests: ObservedRequest[]
  runs: RunLogEntry[]
  disturbancesOf: (host: string) => Disturbance[]
  linkDisturbances: Array<{ from: number, to: number }>
}

const allowedInPause = 2
/** Requests that reach a server this soon after it has asked for a pause were on their way. */
const pauseSettlingMilliseconds = 500

/** Returns a violation for each notice that a host ignored. */
export function findNoticeViolations (options: FindNoticeViolationsOptions): Violation[] {
  return [...findSendsToLeaving(options), ...findSendsInPause(options)]
}

const overlaps = (from: number, to: number) => (period: { from: number, to: number }): boolean => period.from <= to && period.to >= from

function findSendsToLeaving ({ requests, runs, disturbancesOf }: FindNoticeViolationsOptions): Violation[] {
  const arrivals = runs.filter(({ event, request }) => event === RunEvent.Contacted && request !== '')
  const told = requests.filter(({ leavingServer }) => leavingServer !== undefined)
  return [...new Set(told.map(({ host, leavingServer }) => `${host} ${leavingServer}`))].flatMap(pair => {
    const [host, server] = pair.split(' ')
    const toldAt = Math.min(...told.filter(request => request.host === host && request.leavingServer === server).map(({ endedAt }) => endedAt))
    const late = new Map(requests.filter(request => request.host === host && request.sentAt > toldAt + drainMilliseconds).map(request => [request.id, request]))
    return arrivals
      .filter(arrival => arrival.server === server && late.has(arrival.request) && !disturbancesOf(host ?? '').some(overlaps(toldAt, arrival.at)))
      .map(({ request }) => ({ kind: ViolationKind.IgnoredNotice, request, detail: `${host} sent it to ${server}, which had said that it leaves` }))
  })
}

function findSendsInPause ({ requests, runs, disturbancesOf, linkDisturbances }: FindNoticeViolationsOptions): Violation[] {
  const hostOf = new Map(requests.map(({ id, host }) => [id, host]))
  return runs.filter(({ event, request }) => event === RunEvent.TurnedAway && hostOf.has(request)).flatMap(({ at, server, request, pauseMilliseconds = 0 }) => {
    const host = hostOf.get(request) ?? ''
    const [from, to] = [at + pauseSettlingMilliseconds, at + pauseMilliseconds]
    const sends = runs.filter(run => run.event === RunEvent.Contacted && run.server === server && hostOf.get(run.request) === host && run.at > from && run.at < to)
    const isExcused = [...disturbancesOf(host), ...linkDisturbances].some(overlaps(at, to))
    return sends.length <= allowedInPause || isExcused ? [] : [{ kind: ViolationKind.IgnoredNotice, request, detail: `${host} sent ${sends.length} requests to ${server} within the pause of ${Math.round(pauseMilliseconds)} ms that it had asked for` }]
  })
}
