// Guards against a one-second window in which measurements cost more than the budget, and against a log
// that grows with the rate of the measurements.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createMeasuringBudgetState, recordMeasuringOverrun, takeMeasuringBudget, type MeasuringBudget, type MeasuringCost } from '../src/takeMeasuringBudget.js'

const seed = 20_241
const budgetArbitrary = fastCheck.record({
  messagesPerSecond: fastCheck.integer({ min: 0, max: 30 }),
  bytesPerSecond: fastCheck.integer({ min: 0, max: 6_000 }),
  coreShare: fastCheck.double({ min: 0, max: 0.01, noNaN: true })
})
const eventArbitrary = fastCheck.record({
  // Short enough to exhaust the budget in most windows; otherwise entries that expire too early would not be detected.
  pauseMilliseconds: fastCheck.oneof(
    { weight: 10, arbitrary: fastCheck.double({ min: 0, max: 5, noNaN: true }) },
    { weight: 10, arbitrary: fastCheck.double({ min: 0, max: 60, noNaN: true }) },
    fastCheck.constantFrom(0, 4, 999, 1_000)),
  cost: fastCheck.record({
    messages: fastCheck.integer({ min: 0, max: 5 }),
    bytes: fastCheck.integer({ min: 0, max: 1_000 }),
    processorMilliseconds: fastCheck.double({ min: 0, max: 1.5, noNaN: true })
  }),
  changedBudget: fastCheck.option(budgetArbitrary, { freq: 20 })
})

const sumCosts = (taken: Array<{ at: number, cost: MeasuringCost }>, after: number, until: number): MeasuringCost => taken
  .filter(({ at }) => at > after && at <= until)
  .reduce((sum, { cost }) => ({
    messages: sum.messages + cost.messages,
    bytes: sum.bytes + cost.bytes,
    processorMilliseconds: sum.processorMilliseconds + cost.processorMilliseconds
  }), { messages: 0, bytes: 0, processorMilliseconds: 0 })

test(`no window exceeds the budget at its last accepted measurement, seed ${seed}`, () => {
  fastCheck.assert(fastCheck.property(budgetArbitrary, fastCheck.array(eventArbitrary, { minLength: 1, maxLength: 200, size: 'max' }), (first, steps) => {
    const state = createMeasuringBudgetState()
    const taken: Array<{ at: number, cost: MeasuringCost }> = []
    let now = 0
    let budget: MeasuringBudget = first
    steps.forEach(({ pauseMilliseconds, cost, changedBudget }) => {
      now += pauseMilliseconds
      budget = changedBudget ?? budget
      if (!takeMeasuringBudget({ state, cost, budget, now })) return
      taken.push({ at: now, cost })
      // A sum only increases when a cost is recorded, so it is sufficient to check the windows that end there.
      const sum = sumCosts(taken, now - 1_000, now)
      assert.ok(sum.messages <= budget.messagesPerSecond, `${sum.messages} messages of ${budget.messagesPerSecond}`)
      assert.ok(sum.bytes <= budget.bytesPerSecond, `${sum.bytes} bytes of ${budget.bytesPerSecond}`)
      assert.ok(sum.processorMilliseconds <= budget.coreShare * 1_000 + 1e-9, `${sum.processorMilliseconds} ms of ${budget.coreShare * 1_000}`)
    })
    assert.equal(state.slots.length, 256)
  }), { seed, numRuns: 500 })
})

const oneMessage: MeasuringCost = { messages: 1, bytes: 1, processorMilliseconds: 0.001 }
const largeBudget: MeasuringBudget = { messagesPerSecond: 200, bytesPerSecond: 1_000_000, coreShare: 1 }

test('at least 98 % of the budget is usable at a steady rate', () => {
  const state = createMeasuringBudgetState()
  const accepted = Array.from({ length: 20_000 }, (_, index) => takeMeasuringBudget({ state, cost: oneMessage, budget: largeBudget, now: index }))
    .filter(Boolean).length
  // Slots of 4 ms retain an entry for up to 4 ms longer than a second.
  assert.ok(accepted >= 200 * 20 * 0.98 && accepted <= 200 * 20, `${accepted} accepted`)
})

test('a clock that steps back does not release budget', () => {
  const state = createMeasuringBudgetState()
  const budget = { ...largeBudget, messagesPerSecond: 1 }
  assert.ok(takeMeasuringBudget({ state, cost: oneMessage, budget, now: 5_000 }))
  assert.equal(takeMeasuringBudget({ state, cost: oneMessage, budget, now: 1_000 }), false)
  assert.equal(takeMeasuringBudget({ state, cost: oneMessage, budget, now: 5_999 }), false)
  assert.ok(takeMeasuringBudget({ state, cost: oneMessage, budget, now: 6_000 }))
})

test('an entry that shares a slot with an older one does not expire with it', () => {
  const state = createMeasuringBudgetState()
  const budget = { ...largeBudget, messagesPerSecond: 3 }
  const take = (messages: number, now: number): boolean => takeMeasuringBudget({ state, cost: { ...oneMessage, messages }, budget, now })
  assert.deepEqual([take(1, 0), take(2, 3), take(2, 1_002), take(2, 1_003)], [true, true, false, true])
})

test('an overrun that exceeds the budget is reported as a violation', () => {
  const state = createMeasuringBudgetState()
  assert.throws(() => recordMeasuringOverrun({ state, excess: { ...oneMessage, messages: 201 }, budget: largeBudget, now: 0 }), /measuring-within-budget/)
  assert.equal(takeMeasuringBudget({ state, cost: oneMessage, budget: largeBudget, now: 10 }), false)
})
