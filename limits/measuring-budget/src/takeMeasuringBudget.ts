// Hard limit on the cost of load measurements. The messages, bytes and processor time of the last second are
// kept in a sliding log, so that the sums stay within the budget in every one-second window, not only in fixed
// windows. Entries within a few milliseconds share a slot that expires with its last entry. This bounds the
// memory use, and at worst refuses a measurement that would have been within the budget.
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'

export const windowMilliseconds = 1_000
const slotMilliseconds = 4
// Slots start at least slotMilliseconds apart, so at most 252 are live; a power of two makes the modulo cheap.
const slotCount = 256
const microsecondsPerMillisecond = 1_000

/** The cost of a measurement. Bytes and processor time must be upper bounds, since they are recorded before the measurement. */
export interface MeasuringCost {
  messages: number
  bytes: number
  processorMilliseconds: number
}

/** The limits for every window of one second. */
export interface MeasuringBudget {
  messagesPerSecond: number
  bytesPerSecond: number
  /** Fraction of one core; 0.018 allows 18 ms per second. */
  coreShare: number
}

interface Totals {
  messages: number
  bytes: number
  /** An integer, so that additions and subtractions accumulate no rounding error. */
  processorMicroseconds: number
}

interface Slot extends Totals {
  startedAt: number
  lastAt: number
}

/** The log of the last second. */
export interface MeasuringBudgetState {
  slots: Slot[]
  /** Index of the oldest live slot; increases monotonically and is used modulo the slot count. */
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
  /** The current budget; it may change between calls. */
  budget: MeasuringBudget
  now: number
}

/** Records the cost and returns true, or returns false and records nothing if a limit would be exceeded. */
export function takeMeasuringBudget ({ state, cost, budget, now }: TakeMeasuringBudgetOptions): boolean {
  // If the clock steps back, the latest time is used, so that entries expire neither early nor late.
  state.latestNow = Math.max(state.latestNow, now)
  expireSlots(state)
  const increase = createTotals(cost)
  if (!isWithin(addTotals(state.totals, increase), budget)) return false
  record(state, increase)
  assertWithinBudget(state, budget)
  return true
}

export interface RecordMeasuringOverrunOptions extends Omit<TakeMeasuringBudgetOptions, 'cost'> {
  /** The cost of the measurement in excess of the recorded cost. */
  excess: MeasuringCost
}

/** Records a cost already incurred. Exceeding the budget violates the invariant; measurements are then refused until the cost expires. */
export function recordMeasuringOverrun ({ state, excess, budget, now }: RecordMeasuringOverrunOptions): void {
  state.latestNow = Math.max(state.latestNow, now)
  expireSlots(state)
  record(state, createTotals(excess))
  assertWithinBudget(state, budget)
}

/** Returns the cost recorded in the second before `now`, for metrics. */
export function readMeasuringCost (state: MeasuringBudgetState, now: number): MeasuringCost {
  state.latestNow = Math.max(state.latestNow, now)
  expireSlots(state)
  const { messages, bytes, processorMicroseconds } = state.totals
  return { messages, bytes, processorMilliseconds: processorMicroseconds / microsecondsPerMillisecond }
}

const getSlot = (state: MeasuringBudgetState, index: number): Slot => state.slots[index % slotCount] as Slot

function createTotals ({ messages, bytes, processorMilliseconds }: MeasuringCost): Totals {
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
  while (state.oldest < state.next && getSlot(state, state.oldest).lastAt <= state.latestNow - windowMilliseconds) {
    const expired = getSlot(state, state.oldest)
    state.totals.messages -= expired.messages
    state.totals.bytes -= expired.bytes
    state.totals.processorMicroseconds -= expired.processorMicroseconds
    state.oldest += 1
  }
}

function record (state: MeasuringBudgetState, increase: Totals): void {
  const newest = state.next > state.oldest ? getSlot(state, state.next - 1) : undefined
  const slot = newest !== undefined && state.latestNow - newest.startedAt < slotMilliseconds ? newest : appendSlot(state)
  slot.lastAt = state.latestNow
  slot.messages += increase.messages
  slot.bytes += increase.bytes
  slot.processorMicroseconds += increase.processorMicroseconds
  state.totals = addTotals(state.totals, increase)
}

function appendSlot (state: MeasuringBudgetState): Slot {
  const slot = getSlot(state, state.next)
  state.next += 1
  Object.assign(slot, { startedAt: state.latestNow, messages: 0, bytes: 0, processorMicroseconds: 0 })
  return slot
}

// Recomputes the sums from the log instead of using the running totals, so that an error in either is detected.
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
