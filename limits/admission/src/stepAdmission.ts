// Admission control for one service at one entry host: a request is admitted, queued or refused. The number
// in flight is limited (concurrencyLimit.ts). Queued requests are ordered by class, then by arrival. A
// request whose expected wait would leave too little time until its deadline is refused at once, because a
// guest that is refused early can still use another host, and because the work of a server that responds
// after the deadline is wasted.
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import {
  AdmissionCommandKind, AdmissionEventKind, RequestPhase,
  type AdmissionCommand, type AdmissionEvent, type ArrivedEvent, type RequestEntry, type RefuseCommand
} from './admissionTypes.js'
import { adaptAfterCompletion, createConcurrencyLimit, decreaseAfterShed, type ConcurrencyLimit } from './concurrencyLimit.js'
import {
  appendEntry, countAhead, createWaitingQueue, findFirst, findLast, listExpired, prependEntry, removeEntry, type WaitingQueue
} from './waitingQueue.js'

/** A request is queued for at most this fraction of the time until its deadline; the rest is left for the exchange. */
const waitDeadlineRatio = 0.5
/** Time reserved for the exchange beyond the mean latency, in mean absolute deviations of the latency. */
const reservedDeviations = 2
const admittedRatioWeight = 1 / 64
/** Lower bound of the capacity assumed for a class, so that the estimated wait of a class without admissions stays finite. */
const minimumCapacityRatio = 0.02
const minimumRetryAfterMilliseconds = 100
const maximumRetryAfterMilliseconds = 10_000

export interface CreateAdmissionStateOptions {
  /** `limits.queueLength` of the bundle. */
  queueLength: number
  classCount: number
  /** An upper estimate: the slots of the service, or a multiple of this host's share of them. */
  initialLimit: number
  /** The sum of the slots and queue lengths of all servers of the service. */
  maximumLimit: number
}

export interface AdmissionState {
  queueLength: number
  queue: WaitingQueue
  limit: ConcurrencyLimit
  inFlight: number
  entries: Map<string, RequestEntry>
  /** Fraction of the recent admissions of each class, as a moving average. */
  admittedRatios: number[]
  earliestDeadline: number
}

/** Creates the state of one service. */
export function createAdmissionState ({ queueLength, classCount, initialLimit, maximumLimit }: CreateAdmissionStateOptions): AdmissionState {
  return {
    queueLength,
    queue: createWaitingQueue(classCount),
    limit: createConcurrencyLimit(initialLimit, maximumLimit),
    inFlight: 0,
    entries: new Map(),
    admittedRatios: Array.from({ length: classCount }, () => 0),
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

/** Estimates the milliseconds that a new request of this class would be queued. */
export function estimateWait (state: AdmissionState, classRank: number): number {
  const { limit, queue, admittedRatios } = state
  const higherPriorityRatio = admittedRatios.reduce((sum, ratio, rank) => rank < classRank ? sum + ratio : sum, 0)
  const capacityRatio = classRank === 0 ? 1 : Math.max(minimumCapacityRatio, 1 - higherPriorityRatio)
  return (countAhead(queue, classRank) + 1) * limit.meanLatency / (limit.value * capacityRatio)
}

// Adds jitter, so that refused requests are not repeated at the same moment.
const computeRetryAfter = (state: AdmissionState, classRank: number, random: () => number): number =>
  Math.min(maximumRetryAfterMilliseconds, Math.max(minimumRetryAfterMilliseconds, estimateWait(state, classRank)) * (1 + random()))

const refuse = (state: AdmissionState, entry: RequestEntry, code: ResultCode, random: () => number): RefuseCommand => {
  state.entries.delete(entry.requestId)
  checkInvariant({
    invariant: Invariant.NotRunIsTrue,
    holds: entry.refusalOutcome !== Outcome.NotRun || entry.phase === RequestPhase.Waiting || code === ResultCode.ServersRefused,
    detail: () => `request ${entry.requestId} is refused as not run while it is in flight`
  })
  const retryAfterMilliseconds = computeRetryAfter(state, entry.classRank, random)
  return { kind: AdmissionCommandKind.Refuse, requestId: entry.requestId, code, outcome: entry.refusalOutcome, retryAfterMilliseconds }
}

const admit = (state: AdmissionState, entry: RequestEntry, now: number): AdmissionCommand => {
  entry.phase = RequestPhase.InFlight
  entry.admittedAt = now
  state.inFlight += 1
  state.admittedRatios.forEach((ratio, rank) => {
    state.admittedRatios[rank] = ratio + ((rank === entry.classRank ? 1 : 0) - ratio) * admittedRatioWeight
  })
  return { kind: AdmissionCommandKind.Admit, requestId: entry.requestId, waitedMilliseconds: now - entry.arrivedAt }
}

const hasFreeSlot = (state: AdmissionState): boolean => state.inFlight < Math.floor(state.limit.value)

const dispatch = (state: AdmissionState, now: number, random: () => number): AdmissionCommand[] => {
  const commands: AdmissionCommand[] = []
  while (state.queue.length > 0 && hasFreeSlot(state)) {
    const entry = findFirst(state.queue) as RequestEntry
    removeEntry(state.queue, entry)
    const remaining = entry.deadlineAt - now
    if (remaining <= 0) commands.push(refuse(state, entry, ResultCode.DeadlineExceededBeforeSend, random))
    else if (remaining < state.limit.meanLatency) commands.push(refuse(state, entry, ResultCode.DeadlineTooShort, random))
    else commands.push(admit(state, entry, now))
  }
  return commands
}

/** Returns the result code of an early refusal, or undefined if the request is expected to meet its deadline. */
const findEarlyRefusal = (state: AdmissionState, entry: RequestEntry, now: number): ResultCode | undefined => {
  const { meanLatency, latencyDeviation } = state.limit
  const remaining = entry.deadlineAt - now
  const slack = remaining - (meanLatency + reservedDeviations * latencyDeviation)
  if (slack <= 0) return ResultCode.DeadlineTooShort
  return estimateWait(state, entry.classRank) > Math.min(remaining * waitDeadlineRatio, slack) ? ResultCode.Overloaded : undefined
}

const enqueue = (state: AdmissionState, entry: RequestEntry, random: () => number): AdmissionCommand[] => {
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

const createEntry = ({ requestId, classRank, deadlineAt, refusalOutcome }: ArrivedEvent, classCount: number, now: number): RequestEntry => ({
  requestId, classRank: Math.min(Math.max(classRank, 0), classCount - 1), arrivedAt: now, deadlineAt, refusalOutcome, phase: RequestPhase.Waiting, admittedAt: now
})

const arrive: Step<AdmissionEventKind.Arrived> = ({ state, event, now, random }) => {
  const entry = createEntry(event, state.queue.classes.length, now)
  if (state.entries.has(entry.requestId)) return []
  state.entries.set(entry.requestId, entry)
  if (entry.deadlineAt <= now) return [refuse(state, entry, ResultCode.DeadlineExceededBeforeSend, random)]
  if (hasFreeSlot(state) && state.queue.length === 0) return [admit(state, entry, now)]
  const refusalCode = findEarlyRefusal(state, entry, now)
  return refusalCode === undefined ? enqueue(state, entry, random) : [refuse(state, entry, refusalCode, random)]
}

const releaseSlot = (state: AdmissionState, entry: RequestEntry): void => {
  if (entry.phase === RequestPhase.InFlight) state.inFlight -= 1
}

const pause: Step<AdmissionEventKind.Paused> = ({ state, event, now, random }) => {
  const entry = state.entries.get(event.requestId)
  if (entry?.phase !== RequestPhase.InFlight) return []
  releaseSlot(state, entry)
  entry.phase = RequestPhase.Paused
  return dispatch(state, now, random)
}

const resume: Step<AdmissionEventKind.Resumed> = ({ state, event, now, random }) => {
  const entry = state.entries.get(event.requestId)
  if (entry?.phase !== RequestPhase.Paused) return []
  entry.phase = RequestPhase.Waiting
  entry.refusalOutcome = event.refusalOutcome
  prependEntry(state.queue, entry)
  state.earliestDeadline = Math.min(state.earliestDeadline, entry.deadlineAt)
  return dispatch(state, now, random)
}

const adapt = (state: AdmissionState, entry: RequestEntry, now: number): void => adaptAfterCompletion(state.limit, {
  latency: now - entry.admittedAt,
  allowedLatency: entry.deadlineAt - entry.admittedAt,
  limitInUse: state.queue.length > 0 || state.inFlight >= Math.floor(state.limit.value) - 1,
  now
})

const finish: Step<AdmissionEventKind.Finished> = ({ state, event, now, random }) => {
  const entry = state.entries.get(event.requestId)
  if (entry?.phase !== RequestPhase.InFlight) return []
  adapt(state, entry, now)
  releaseSlot(state, entry)
  state.entries.delete(entry.requestId)
  return dispatch(state, now, random)
}

const shed: Step<AdmissionEventKind.Shed> = ({ state, event, now, random }) => {
  const entry = state.entries.get(event.requestId)
  if (entry?.phase !== RequestPhase.InFlight) return []
  decreaseAfterShed(state.limit)
  if (event.resends) return []
  releaseSlot(state, entry)
  entry.refusalOutcome = event.refusalOutcome
  const code = event.refusalOutcome === Outcome.NotRun ? ResultCode.ServersRefused : ResultCode.ServerFailedAfterSend
  return [refuse(state, entry, code, random), ...dispatch(state, now, random)]
}

const cancel: Step<AdmissionEventKind.Cancelled> = ({ state, event, now, random }) => {
  const entry = state.entries.get(event.requestId)
  if (entry === undefined) return []
  // A cancellation after more than the mean latency indicates overload; an earlier one does not.
  if (entry.phase === RequestPhase.InFlight && now - entry.admittedAt > state.limit.meanLatency) adapt(state, entry, now)
  if (entry.phase === RequestPhase.Waiting) removeEntry(state.queue, entry)
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

/** Processes one event. The commands may also concern queued requests other than the one of the event. */
export function stepAdmission (options: StepAdmissionOptions): AdmissionCommand[] {
  const step = steps[options.event.kind] as Step<AdmissionEventKind>
  return step(options as Parameters<typeof step>[0])
}
