// The promises of the pages, checked from what guests saw and what servers ran.
import { RunEvent, type RunLine } from '@siskinbeam/stand-in-platform-server/runLine'
import { DisturbanceKind, type Disturbance } from './disturbance.js'
import type { SeenRequest } from './driveGuests.js'

export enum BrokenPromise {
  /** A request that may run once at most ran more often. */
  RanTwice = 'ran-twice',
  /** A request was answered with a status that says "not run", and ran. */
  RefusedButRan = 'refused-but-ran',
  /** A success is not the whole answer of a server to this request. */
  WrongAnswer = 'wrong-answer',
  /** A connection ended without an answer, though the host was well, or was stopped in good order. */
  Lost = 'lost',
  /** The final answer came later than the timeout of the route. */
  Late = 'late',
  /** After all faults have ended, a host does not serve, or not as the newest configuration says. */
  NotRecovered = 'not-recovered',
  /** After all faults have ended, a request ran on a server that has left. */
  RanOnLeavingServer = 'ran-on-leaving-server',
  /** A process of a host ended by itself. */
  EndedByItself = 'ended-by-itself'
}

export interface Violation {
  promise: BrokenPromise
  request: string
  detail: string
}

export interface CheckPromisesOptions {
  seen: SeenRequest[]
  runs: RunLine[]
  disturbancesOf: (host: string) => Disturbance[]
  /** Answers later than this are late; undefined where the machine may hold up the processes. */
  latestAnswerMilliseconds: number | undefined
}

const notRunStatuses = new Set([408, 421, 429, 503])
/** A host that was disturbed needs this time to be as before. */
const aftermathMilliseconds = 3_000
/** A connection that breaks with the process may show a little earlier or later. */
const edgeMilliseconds = 250

/** Gives the promises that were broken. */
export function checkPromises ({ seen, runs, disturbancesOf, latestAnswerMilliseconds }: CheckPromisesOptions): Violation[] {
  const begun = runs.filter(({ event }) => event === RunEvent.Begins)
  const runsById = begun.reduce((counts, { request }) => counts.set(request, (counts.get(request) ?? 0) + 1), new Map<string, number>())
  const ranTwice = [...new Set(begun.filter(({ unsafe }) => unsafe).map(({ request }) => request))]
    .filter(request => (runsById.get(request) ?? 0) > 1)
    .map(request => ({ promise: BrokenPromise.RanTwice, request, detail: begun.filter(run => run.request === request).map(({ server }) => server).join() }))
  const isDisturbed = (request: SeenRequest, kinds: DisturbanceKind[], before: number): boolean => disturbancesOf(request.host)
    .some(({ from, to, kind }) => kinds.includes(kind) && from <= request.endedAt + edgeMilliseconds && to + before >= request.sentAt)
  const checks: Array<[BrokenPromise, (request: SeenRequest) => boolean]> = [
    [BrokenPromise.RefusedButRan, ({ id, status }) => notRunStatuses.has(status) && runsById.has(id)],
    [BrokenPromise.WrongAnswer, ({ status, isOwnAnswer }) => status >= 200 && status < 300 && !isOwnAnswer],
    [BrokenPromise.Lost, request => {
      if (request.status !== 0 || isDisturbed(request, [DisturbanceKind.Killed, DisturbanceKind.Paused], edgeMilliseconds)) return false
      if (runsById.has(request.id) || request.hasAnswerBytes) return true
      // A request that crosses the close of a kept connection was not taken.
      return !request.reused && !isDisturbed(request, [DisturbanceKind.Stopped], edgeMilliseconds)
    }],
    [BrokenPromise.Late, request => latestAnswerMilliseconds !== undefined && request.status !== 0 &&
      request.endedAt - request.sentAt > latestAnswerMilliseconds && !isDisturbed(request, Object.values(DisturbanceKind), aftermathMilliseconds)]
  ]
  return [...ranTwice, ...seen.flatMap(request => checks
    .filter(([, isBroken]) => isBroken(request))
    .map(([promise]) => ({ promise, request: request.id, detail: `host ${request.host}, status ${request.status}, sent at ${request.sentAt}, ${request.endedAt - request.sentAt} ms, runs ${runsById.get(request.id) ?? 0}` })))]
}
