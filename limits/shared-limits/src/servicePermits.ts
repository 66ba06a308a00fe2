// Hands out the permits of all limited servers of a service. A request gets the earliest permit, which it may have to wait for a
// little; the time is reserved, so that nobody polls. A request that can't be served in its time is told at once when to return.
// Urgent requests may wait for permits. Less urgent ones get those that are left, and one of each few, so that they do not starve.
import { createPermitPacing, schedulePermit, takePermit, type PermitPacing, type PermitSchedule } from './permitPacing.js'

export interface PermitCandidate {
  /** Key of the limited server. */
  server: string
  requestsPerSecond: number
  /** Fraction of the limit that may be used, from 0 to 1. */
  share: number
  /** Whether the server is in the own data centre. */
  isLocal: boolean
}

export interface PermitDemand {
  /** Limited servers that can take the request. */
  candidates: PermitCandidate[]
  /** How long the request may wait for its permit. */
  waitMilliseconds: number
  isUrgent: boolean
}

export enum PermitAnswer {
  Granted = 'granted',
  Refused = 'refused'
}

export type PermitDecision =
  | { answer: PermitAnswer.Granted, server: string, delayMilliseconds: number }
  | {
    answer: PermitAnswer.Refused
    /** Time until the next permit is due. */
    dueInMilliseconds: number
    /** Time after which this request may return; later for each further one that is refused. */
    retryAfterMilliseconds: number
  }

export interface ServicePermits {
  pacings: Map<string, PermitPacing>
  /** Number of permits that urgent requests have taken since a less urgent one got one. */
  urgentInRow: number
  /** Until when permits are expected to be taken by requests that were told to return. */
  promisedUntil: number
}

interface ScheduledCandidate {
  candidate: PermitCandidate
  pacing: PermitPacing
  schedule: PermitSchedule
}

/** After this many urgent requests, a less urgent one may wait for a permit as they do. */
const urgentInRowLimit = 3
/** Limits change, so permits are not reserved for longer. */
const maximumWaitMilliseconds = 300
const maximumRetryAfterMilliseconds = 2_000

/** Creates the state of a service without permits handed out. */
export function createServicePermits (): ServicePermits {
  return { pacings: new Map(), urgentInRow: 0, promisedUntil: -Infinity }
}

/** Decides about a permit. Returns undefined if no candidate has a share that this host may use. */
export function decidePermit (permits: ServicePermits, { candidates, waitMilliseconds, isUrgent }: PermitDemand, now: number): PermitDecision | undefined {
  const scheduled = candidates.filter(({ share }) => share > 0).map(candidate => scheduleCandidate(permits, candidate, now))
  if (scheduled.length === 0) return undefined
  const mayWait = isUrgent || permits.urgentInRow >= urgentInRowLimit
  const earliest = scheduled.reduce((best, other) => isBetter(other, best, now) ? other : best)
  const delayMilliseconds = Math.max(0, earliest.schedule.dueAt - now)
  if (delayMilliseconds > (mayWait ? Math.min(waitMilliseconds, maximumWaitMilliseconds) : 0)) return refusePermit(permits, scheduled, earliest, now)
  takePermit(earliest.pacing, earliest.schedule, now)
  permits.urgentInRow = isUrgent ? permits.urgentInRow + 1 : 0
  return { answer: PermitAnswer.Granted, server: earliest.candidate.server, delayMilliseconds }
}

function scheduleCandidate ({ pacings }: ServicePermits, candidate: PermitCandidate, now: number): ScheduledCandidate {
  const pacing = pacings.get(candidate.server) ?? createPermitPacing()
  pacings.set(candidate.server, pacing)
  return { candidate, pacing, schedule: schedulePermit(pacing, candidate.requestsPerSecond, candidate.share, now) }
}

/** Servers whose permits are due come first, those of the own data centre before others, then the one that has been due for longest. */
function isBetter (one: ScheduledCandidate, other: ScheduledCandidate, now: number): boolean {
  const isDue = (scheduled: ScheduledCandidate): boolean => scheduled.schedule.dueAt <= now
  if (isDue(one) && isDue(other) && one.candidate.isLocal !== other.candidate.isLocal) return one.candidate.isLocal
  return one.schedule.dueAt < other.schedule.dueAt
}

function refusePermit (permits: ServicePermits, scheduled: ScheduledCandidate[], earliest: ScheduledCandidate, now: number): PermitDecision {
  const permitsPerMillisecond = scheduled.reduce((sum, { schedule }) => sum + 1 / schedule.intervalMilliseconds, 0)
  const { dueAt } = earliest.schedule
  const returnsAt = Math.min(Math.max(permits.promisedUntil, dueAt, now), now + maximumRetryAfterMilliseconds)
  permits.promisedUntil = returnsAt + 1 / permitsPerMillisecond
  return { answer: PermitAnswer.Refused, dueInMilliseconds: Math.max(0, dueAt - now), retryAfterMilliseconds: Math.max(0, returnsAt - now) }
}

/** Removes the pacings of servers that have no limit any more. */
export function retainLimited ({ pacings }: ServicePermits, isLimited: (server: string) => boolean): void {
  pacings.forEach((_, server) => { if (!isLimited(server)) pacings.delete(server) })
}
