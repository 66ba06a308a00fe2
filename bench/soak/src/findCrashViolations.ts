// Checks that a request which crashes the servers that run it is soon refused. A host that was disturbed shortly before does not
// count, and neither does a time at which the store was.
import { RunEvent, type RunLogEntry } from '@siskinbeam/stand-in-platform-server/runLogEntry'
import type { Disturbance } from './disturbance.js'
import type { ObservedRequest } from './observedRequest.js'
import { ViolationKind, type Violation } from './findViolations.js'

export interface FindCrashViolationsOptions {
  /** Copies of crashing requests; the copies of one request have the same content. */
  copies: Array<ObservedRequest & { content: string }>
  runs: RunLogEntry[]
  disturbancesOf: (host: string) => Disturbance[]
  storeDisturbances: Array<{ from: number, to: number }>
}

const allowedCrashes = 3
const allowedRetries = 3
/** Time that hosts have after the third crash, and for which a disturbance excuses. */
const settlingMilliseconds = 3_000

/** Returns a violation for each request that reached too many servers. */
export function findCrashViolations ({ copies, runs, disturbancesOf, storeDisturbances }: FindCrashViolationsOptions): Violation[] {
  const isExcused = (host: string, at: number): boolean =>
    [...disturbancesOf(host), ...storeDisturbances].some(({ from, to }) => from <= at && to + settlingMilliseconds >= at)
  const contents = [...new Set(copies.map(({ content }) => content))]
  return contents.flatMap(content => {
    const hostOf = new Map(copies.filter(copy => copy.content === content).map(({ id, host }) => [id, host]))
    const crashes = runs.filter(({ event, request }) => event === RunEvent.Started && hostOf.has(request)).sort((first, second) => first.at - second.at)
    const settledAt = (crashes[allowedCrashes - 1]?.at ?? Infinity) + settlingMilliseconds
    const retries = crashes.filter(({ at, request }) => at > settledAt && !isExcused(hostOf.get(request) ?? '', at))
    return retries.length <= allowedRetries ? [] : [{ kind: ViolationKind.CrashedServers, request: content, detail: `${retries.length} retries later than ${settlingMilliseconds} ms after the third crash, ${crashes.length} crashes` }]
  })
}
