// Compares what servers got with the limits that they named. A host counts from half a second after it has passed on a response that
// names the limit, unless it was disturbed shortly before. Health checks do not say which host sent them, so they count while all
// hosts do.
import { RunEvent, type RunLogEntry } from '@siskinbeam/stand-in-platform-server/runLogEntry'
import type { Disturbance } from './disturbance.js'
import type { ObservedRequest } from './observedRequest.js'
import { ViolationKind, type Violation } from './findViolations.js'
import type { LimitPeriod } from './limitPeriod.js'

export interface FindLimitViolationsOptions {
  requests: ObservedRequest[]
  runs: RunLogEntry[]
  limits: LimitPeriod[]
  hosts: string[]
  disturbancesOf: (host: string) => Disturbance[]
}

const windowMilliseconds = 4_000
/** Time that hosts have to keep a limit after it was first named, and for which a disturbance excuses a host. */
const settlingMilliseconds = 3_000
const toldMilliseconds = 500
const allowedRatio = 1.5
const allowedRequests = 5

/** Returns a violation for each limit that was exceeded. */
export function findLimitViolations ({ requests, runs, limits, hosts, disturbancesOf }: FindLimitViolationsOptions): Violation[] {
  const hostOf = new Map(requests.map(({ id, host }) => [id, host]))
  return limits.flatMap(({ server, requestsPerSecond, from, to }) => {
    const toldAt = new Map(hosts.map(host => [host, toldMilliseconds + Math.min(...requests.filter(request => request.host === host && request.limitedServer === server).map(({ endedAt }) => endedAt))]))
    const firstNamedAt = Math.min(...toldAt.values()) - toldMilliseconds
    const counts = (host: string, at: number): boolean => at >= (toldAt.get(host) ?? Infinity) &&
      !disturbancesOf(host).some(disturbance => disturbance.from <= at && disturbance.to + settlingMilliseconds >= at)
    const times = runs
      .filter(({ event, server: contacted, at }) => event === RunEvent.Contacted && contacted === server && at >= Math.max(from, firstNamedAt) + settlingMilliseconds && at <= to)
      .filter(({ request, at }) => request === '' ? hosts.every(host => counts(host, at)) : counts(hostOf.get(request) ?? '', at))
      .map(({ at }) => at)
    const worst = Math.max(0, ...times.map(end => times.filter(time => time > end - windowMilliseconds && time <= end).length))
    const allowed = allowedRatio * requestsPerSecond * windowMilliseconds / 1_000 + allowedRequests
    return worst <= allowed ? [] : [{ kind: ViolationKind.OverLimit, request: '', detail: `${server} got ${worst} in ${windowMilliseconds} ms at a limit of ${requestsPerSecond} a second` }]
  })
}
