// The hard limit on measuring servers: messages, bytes and processor time of the last second are kept
// in a sliding log, so that the sums stay within the budget in every one-second window and not only in
// windows that start at full seconds. Entries closer together than a few milliseconds share a slot
// that counts until its last entry expires, which bounds the memory and errs towards refusing.
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'

export const windowMilliseconds = 1_000
const slotMilliseconds = 4
// Slots start at least slotMilliseconds apart, so 252 can be live; a power of two makes the index cheap.
const slotCount = 256
const microsecondsPerMillisecond = 1_000

/** What a measurement costs. Bytes and processor time must be upper bounds, for they are booked before the work is done. */
export interface MeasuringCost {
  messages: number
  bytes: number
  processorMilliseconds: number
}

/** The limits for any window of one second. */
export interface MeasuringBudget {
  messagesPerSecond: number
  bytesPerSecond: number
  /** Share of one core; 0.018 allows 18 ms in a second. */
  coreShare: number
}

interface Totals {
  messages: number
  bytes: number
  /** Whole microseconds, so that adding and subtracting leaves no rounding error. */
  processorMicroseconds: number
}

interface Slot extends Totals {
  startedAt: number
  lastAt: number
}

/** The log of the last second. */
export interface MeasuringBudgetState {
  slots: Slot[]
  /** Index of the oldest live slot; grows without bound and is taken modulo the slot count. */
  oldest: number
  next: number
  totals: Totals
  latestNow: number
}

/** Creates an empty log. */
export function createMeasuringBudgetState (): MeasuringBudgetState {
  return {
    slots: Array.from({ length: slotCount }, () => ({ startedAt: 0, lastAt: 0, messages: 0, bytes: 0, processorMicroseconds: 0 })),
    oldest: 0,
    next: 0,
    totals: { messages: 0, bytes: 0, processorMicroseconds: 0 },
    latestNow: Number.NEGATIVE_INFINITY
  }
}

export interface TakeMeasuringBudgetOptions {
  state: MeasuringBudgetState
  cost: MeasuringCost
  /** The budget in force now; it may differ from call to call. */
  budget: MeasuringBudget
  now: number
}

/** Books the cost and gives true, or gives false and books nothing if any limit would be exceeded. */
export function takeMeasuringBudget ({ state, cost, budget, now }: TakeMeasuringBudgetOptions): boolean {
  // A clock that steps back must not make entries expire late or early: time never decreases here.
  state.latestNow = Math.max(state.latestNow, now)
  expireSlots(state)
  const added = toTotals(cost)
  if (!isWithin(addTotals(state.totals, added), budget)) return false
  book(state, added)
  assertWithinBudget(state, budget)
  return true
}

export interface RecordMeasuringOverrunOptions extends Omit<TakeMeasuringBudgetOptions, 'cost'> {
  /** What the measurement cost beyond the amount booked for it. */
  excess: MeasuringCost
}

/** Books a cost that has already arisen. Exceeding the budget is a violation, and later takes are refused until it expires. */
export function recordMeasuringOverrun ({ state, excess, budget, now }: RecordMeasuringOverrunOptions): void {
  state.latestNow = Math.max(state.latestNow, now)
  expireSlots(state)
  book(state, toTotals(excess))
  assertWithinBudget(state, budget)
}

/** The cost booked in the second before `now`, for metrics. */
export function readMeasuringCost (state: MeasuringBudgetState, now: number): MeasuringCost {
  state.latestNow = Math.max(state.latestNow, now)
  expireSlots(state)
  const { messages, bytes, processorMicroseconds } = state.totals
  return { messages, bytes, processorMilliseconds: processorMicroseconds / microsecondsPerMillisecond }
}

const slotAt = (state: MeasuringBudgetState, index: number): Slot => state.slots[index % slotCount] as Slot

function toTotals ({ messages, bytes, processorMilliseconds }: MeasuringCost): Totals {
  return { messages, bytes, processorMicroseconds: Math.ceil(processorMilliseconds * microsecondsPerMillisecond) }
}

function addTotals (first: Totals, second: Totals): Totals {
  return {
    messages: first.messages + second.messages,
    bytes: first.bytes + second.bytes,
    processorMicroseconds: first.processorMicroseconds + second.processorMicroseconds
  }
}

function isWithin (totals: Totals, budget: MeasuringBudget): boolean {
  return totals.messages <= budget.messagesPerSecond &&
    totals.bytes <= budget.bytesPerSecond &&
    totals.processorMicroseconds <= budget.coreShare * windowMilliseconds * microsecondsPerMillisecond
}

function expireSlots (state: MeasuringBudgetState): void {
  while (state.oldest < state.next && slotAt(state, state.oldest).lastAt <= state.latestNow - windowMilliseconds) {
    const expired = slotAt(state, state.oldest)
    state.totals.messages -= expired.messages
    state.totals.bytes -= expired.bytes
    state.totals.processorMicroseconds -= expired.processorMicroseconds
    state.oldest += 1
  }
}

function book (state: MeasuringBudgetState, added: Totals): void {
  const newest = state.next > state.oldest ? slotAt(state, state.next - 1) : undefined
  const slot = newest !== undefined && state.latestNow - newest.startedAt < slotMilliseconds ? newest : openSlot(state)
  slot.lastAt = state.latestNow
  slot.messages += added.messages
  slot.bytes += added.bytes
  slot.processorMicroseconds += added.processorMicroseconds
  state.totals = addTotals(state.totals, added)
}

function openSlot (state: MeasuringBudgetState): Slot {
  const slot = slotAt(state, state.next)
  state.next += 1
  Object.assign(slot, { startedAt: state.latestNow, messages: 0, bytes: 0, processorMicroseconds: 0 })
  return slot
}

// Counts the log again instead of trusting the running totals, so that a fault in either is found.
function assertWithinBudget (state: MeasuringBudgetState, budget: MeasuringBudget): void {
  const counted: Totals = { messages: 0, bytes: 0, processorMicroseconds: 0 }
  state.slots.forEach(slot => {
    if (slot.lastAt <= state.latestNow - windowMilliseconds) return
    counted.messages += slot.messages
    counted.bytes += slot.bytes
    counted.processorMicroseconds += slot.processorMicroseconds
  })
  checkInvariant({
    invariant: Invariant.MeasuringWithinBudget,
    holds: isWithin(counted, budget),
    detail: () => `booked ${JSON.stringify(counted)} in one second, budget ${JSON.stringify(budget)}`
  })
}
