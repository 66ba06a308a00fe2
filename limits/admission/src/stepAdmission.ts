// Decides for one service at one entry host whether a request is sent now, waits, or is refused. The
// number in flight is limited (concurrencyLimit.ts). Waiting requests are ordered by class, then by
// arrival. A request whose expected wait would leave too little of its deadline is refused at once,
// because a guest that learns it early can still go elsewhere, and because a server that answers past
// the deadline has worked for nothing.
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import {
  AdmissionCommandKind, AdmissionEventKind, Place,
  type AdmissionCommand, type AdmissionEvent, type ArrivedEvent, type Entry, type RefuseCommand
} from './admissionTypes.js'
import { adaptAfterFinish, createConcurrencyLimit, lowerAfterShed, type ConcurrencyLimit } from './concurrencyLimit.js'
import {
  appendEntry, countAhead, createWaitingQueue, findFirst, findLast, listExpired, prependEntry, removeEntry, type WaitingQueue
} from './waitingQueue.js'

/** A request waits for at most this share of its remaining deadline, so that the exchange has the rest. */
const waitDeadlineShare = 0.5
/** Deviations of the latency that are kept free for the exchange itself. */
const reservedDeviations = 2
const admittedShareWeight = 1 / 64
/** A class that gets no admissions is expected to wait, but not for ever. */
const minimumCapacityShare = 0.02
const minimumRetryAfterMilliseconds = 100
const maximumRetryAfterMilliseconds = 10_000

export interface AdmissionOptions {
  /** `limits.queueLength` of the bundle. */
  queueLength: number
  classCount: number
  /** A generous guess: the slots of the service, or a multiple of this host's share of them. */
  initialLimit: number
  /** The slots and queue places of the service as a whole. */
  maximumLimit: number
}

export interface AdmissionState {
  queueLength: number
  queue: WaitingQueue
  limit: ConcurrencyLimit
  inFlight: number
  entries: Map<string, Entry>
  /** Share of the admissions that went to each class lately. */
  admittedShares: number[]
  earliestDeadline: number
}

/** Creates the state of one service. */
export function createAdmissionState ({ queueLength, classCount, initialLimit, maximumLimit }: AdmissionOptions): AdmissionState {
  return {
    queueLength,
    queue: createWaitingQueue(classCount),
    limit: createConcurrencyLimit(initialLimit, maximumLimit),
    inFlight: 0,
    entries: new Map(),
    admittedShares: Array.from({ length: classCount }, () => 0),
    earliestDeadline: Infinity
  }
}

export interface StepAdmissionOptions {
  state: AdmissionState
  event: AdmissionEvent
  now: number
  random: () => number
}

type Step<Kind extends AdmissionEventKind> = (options: StepAdmissionOptions & { event: Extract<AdmissionEvent, { kind: Kind }> }) => AdmissionCommand[]

/** Milliseconds that a new request of this class would wait. */
export function estimateWait (state: AdmissionState, classRank: number): number {
  const { limit, queue, admittedShares } = state
  const moreImportant = admittedShares.reduce((sum, share, rank) => rank < classRank ? sum + share : sum, 0)
  const capacityShare = classRank === 0 ? 1 : Math.max(minimumCapacityShare, 1 - moreImportant)
  return (countAhead(queue, classRank) + 1) * limit.meanLatency / (limit.value * capacityShare)
}

// Random, so that the refused do not come back at the same moment.
const computeRetryAfter = (state: AdmissionState, classRank: number, random: () => number): number =>
  Math.min(maximumRetryAfterMilliseconds, Math.max(minimumRetryAfterMilliseconds, estimateWait(state, classRank)) * (1 + random()))

const refuse = (state: AdmissionState, entry: Entry, code: ResultCode, random: () => number): RefuseCommand => {
  state.entries.delete(entry.requestId)
  checkInvariant({
    invariant: Invariant.NotRunIsTrue,
    holds: entry.refusalOutcome !== Outcome.NotRun || entry.place === Place.Waiting || code === ResultCode.ServersRefused,
    detail: () => `request ${entry.requestId} is refused as not run while it is in flight`
  })
  const retryAfterMilliseconds = computeRetryAfter(state, entry.classRank, random)
  return { kind: AdmissionCommandKind.Refuse, requestId: entry.requestId, code, outcome: entry.refusalOutcome, retryAfterMilliseconds }
}

const admit = (state: AdmissionState, entry: Entry, now: number): AdmissionCommand => {
  entry.place = Place.InFlight
  entry.admittedAt = now
  state.inFlight += 1
  state.admittedShares.forEach((share, rank) => {
    state.admittedShares[rank] = share + ((rank === entry.classRank ? 1 : 0) - share) * admittedShareWeight
  })
  return { kind: AdmissionCommandKind.Admit, requestId: entry.requestId, waitedMilliseconds: now - entry.arrivedAt }
}

const hasFreeSlot = (state: AdmissionState): boolean => state.inFlight < Math.floor(state.limit.value)

const dispatch = (state: AdmissionState, now: number, random: () => number): AdmissionCommand[] => {
  const commands: AdmissionCommand[] = []
  while (state.queue.length > 0 && hasFreeSlot(state)) {
    const entry = findFirst(state.queue) as Entry
    removeEntry(state.queue, entry)
    const left = entry.deadlineAt - now
    if (left <= 0) commands.push(refuse(state, entry, ResultCode.DeadlineExceededBeforeSend, random))
    else if (left < state.limit.meanLatency) commands.push(refuse(state, entry, ResultCode.DeadlineTooShort, random))
    else commands.push(admit(state, entry, now))
  }
  return commands
}

/** The code of an early refusal, or undefined if the request is expected to be in time. */
const findEarlyRefusal = (state: AdmissionState, entry: Entry, now: number): ResultCode | undefined => {
  const { meanLatency, latencyDeviation } = state.limit
  const left = entry.deadlineAt - now
  const afterExchange = left - (meanLatency + reservedDeviations * latencyDeviation)
  if (afterExchange <= 0) return ResultCode.DeadlineTooShort
  return estimateWait(state, entry.classRank) > Math.min(left * waitDeadlineShare, afterExchange) ? ResultCode.Overloaded : undefined
}

const enqueue = (state: AdmissionState, entry: Entry, random: () => number): AdmissionCommand[] => {
  if (state.queue.length < state.queueLength) {
    appendEntry(state.queue, entry)
    state.earliestDeadline = Math.min(state.earliestDeadline, entry.deadlineAt)
    return []
  }
  const last = findLast(state.queue)
  if (last === undefined || last.classRank <= entry.classRank) return [refuse(state, entry, ResultCode.Overloaded, random)]
  removeEntry(state.queue, last)
  return [refuse(state, last, ResultCode.Overloaded, random), ...enqueue(state, entry, random)]
}

const createEntry = ({ requestId, classRank, deadlineAt, refusalOutcome }: ArrivedEvent, classCount: number, now: number): Entry => ({
  requestId, classRank: Math.min(Math.max(classRank, 0), classCount - 1), arrivedAt: now, deadlineAt, refusalOutcome, place: Place.Waiting, admittedAt: now
})

const arrive: Step<AdmissionEventKind.Arrived> = ({ state, event, now, random }) => {
  const entry = createEntry(event, state.queue.classes.length, now)
  if (state.entries.has(entry.requestId)) return []
  state.entries.set(entry.requestId, entry)
  if (entry.deadlineAt <= now) return [refuse(state, entry, ResultCode.DeadlineExceededBeforeSend, random)]
  if (hasFreeSlot(state) && state.queue.length === 0) return [admit(state, entry, now)]
  const early = findEarlyRefusal(state, entry, now)
  return early === undefined ? enqueue(state, entry, random) : [refuse(state, entry, early, random)]
}

const releaseSlot = (state: AdmissionState, entry: Entry): void => {
  if (entry.place === Place.InFlight) state.inFlight -= 1
}

const pause: Step<AdmissionEventKind.Paused> = ({ state, event, now, random }) => {
  const entry = state.entries.get(event.requestId)
  if (entry?.place !== Place.InFlight) return []
  releaseSlot(state, entry)
  entry.place = Place.Paused
  return dispatch(state, now, random)
}

const resume: Step<AdmissionEventKind.Resumed> = ({ state, event, now, random }) => {
  const entry = state.entries.get(event.requestId)
  if (entry?.place !== Place.Paused) return []
  entry.place = Place.Waiting
  entry.refusalOutcome = event.refusalOutcome
  prependEntry(state.queue, entry)
  state.earliestDeadline = Math.min(state.earliestDeadline, entry.deadlineAt)
  return dispatch(state, now, random)
}

const adapt = (state: AdmissionState, entry: Entry, now: number): void => adaptAfterFinish(state.limit, {
  latency: now - entry.admittedAt,
  allowed: entry.deadlineAt - entry.admittedAt,
  limitInUse: state.queue.length > 0 || state.inFlight >= Math.floor(state.limit.value) - 1,
  now
})

const finish: Step<AdmissionEventKind.Finished> = ({ state, event, now, random }) => {
  const entry = state.entries.get(event.requestId)
  if (entry?.place !== Place.InFlight) return []
  adapt(state, entry, now)
  releaseSlot(state, entry)
  state.entries.delete(entry.requestId)
  return dispatch(state, now, random)
}

const shed: Step<AdmissionEventKind.Shed> = ({ state, event, now, random }) => {
  const entry = state.entries.get(event.requestId)
  if (entry?.place !== Place.InFlight) return []
  lowerAfterShed(state.limit)
  if (event.resends) return []
  releaseSlot(state, entry)
  entry.refusalOutcome = event.refusalOutcome
  const code = event.refusalOutcome === Outcome.NotRun ? ResultCode.ServersRefused : ResultCode.ServerFailedAfterSend
  return [refuse(state, entry, code, random), ...dispatch(state, now, random)]
}

const cancel: Step<AdmissionEventKind.Cancelled> = ({ state, event, now, random }) => {
  const entry = state.entries.get(event.requestId)
  if (entry === undefined) return []
  // A guest that gave up after an unusually long wait is evidence of overload, an early one is none.
  if (entry.place === Place.InFlight && now - entry.admittedAt > state.limit.meanLatency) adapt(state, entry, now)
  if (entry.place === Place.Waiting) removeEntry(state.queue, entry)
  releaseSlot(state, entry)
  state.entries.delete(entry.requestId)
  return dispatch(state, now, random)
}

const tick: Step<AdmissionEventKind.Ticked> = ({ state, now, random }) => {
  if (now < state.earliestDeadline) return []
  const expired = listExpired(state.queue, now).map(entry => {
    removeEntry(state.queue, entry)
    return refuse(state, entry, ResultCode.DeadlineExceededBeforeSend, random)
  })
  state.earliestDeadline = state.queue.classes.reduce((earliest, { first }) => {
    for (let entry = first; entry !== undefined; entry = entry.next) earliest = Math.min(earliest, entry.deadlineAt)
    return earliest
  }, Infinity)
  return expired
}

const steps: { [Kind in AdmissionEventKind]: Step<Kind> } = {
  [AdmissionEventKind.Arrived]: arrive,
  [AdmissionEventKind.Paused]: pause,
  [AdmissionEventKind.Resumed]: resume,
  [AdmissionEventKind.Finished]: finish,
  [AdmissionEventKind.Shed]: shed,
  [AdmissionEventKind.Cancelled]: cancel,
  [AdmissionEventKind.Ticked]: tick
}

/** Advances admission by one event. Commands other than about the event's own request concern requests that waited. */
export function stepAdmission (options: StepAdmissionOptions): AdmissionCommand[] {
  const step = steps[options.event.kind] as Step<AdmissionEventKind>
  return step(options as Parameters<typeof step>[0])
}
