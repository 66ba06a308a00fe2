// Verifies that requests that must run only once are not hedged, that hedges stay within the retry budget, and
// that they are sent at the right time.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom, drawExponential } from '@siskinbeam/random/createRandom'
import { createHedgingState, decideHedge, HedgeDecisionKind, listAttemptsToCancel, recordRequestLatency, type DecideHedgeOptions, type HedgingState } from '../src/decideHedge.js'

const seed = 20_246
const recordLatencies = (meanMilliseconds: number, state: HedgingState = createHedgingState({ enabled: true, percentile: 95 })): HedgingState => {
  const random = createRandom(seed)
  Array.from({ length: 10_240 }).forEach(() => recordRequestLatency(state, drawExponential(random, meanMilliseconds)))
  return state
}
const decide = (state: HedgingState, change: Partial<DecideHedgeOptions> = {}): HedgeDecisionKind => decideHedge({
  state, now: 1_000, sentAt: 0, deadlineAt: 10_000, idempotent: true, suspect: false, hedgesSent: 0, budgetAvailable: true, ...change
}).kind

test('the delay is the percentile of recent latencies', () => {
  const percentile = (state: HedgingState): number => state.latencies.valueMilliseconds ?? 0
  const state = recordLatencies(20)
  // The 95th percentile of an exponential distribution is 3 times its mean; a bucket spans 10 %.
  assert.ok(percentile(state) > 56 && percentile(state) < 70, `${percentile(state)}`)
  recordLatencies(100, state)
  assert.ok(percentile(state) > 270 && percentile(state) < 350, `${percentile(state)}`)
})

test('a request is hedged once, after the delay', () => {
  const state = recordLatencies(20)
  const waiting = decideHedge({ state, now: 1, sentAt: 0, deadlineAt: 10_000, idempotent: true, suspect: false, hedgesSent: 0, budgetAvailable: false })
  assert.equal(waiting.kind, HedgeDecisionKind.Wait)
  assert.equal(decide(state), HedgeDecisionKind.Send)
  assert.equal(decide(state, { hedgesSent: 1 }), HedgeDecisionKind.Never)
})

const forbidden: Array<[string, Partial<DecideHedgeOptions>]> = [
  ['a non-idempotent request', { idempotent: false }],
  ['a crash suspect', { suspect: true }],
  ['a request without retry budget', { budgetAvailable: false }],
  ['a request whose deadline is before the hedge', { deadlineAt: 30 }],
  ['a service without latencies', { state: createHedgingState({ enabled: true, percentile: 95 }) }],
  ['a service with hedging disabled', { state: recordLatencies(20, createHedgingState({ enabled: false, percentile: 95 })) }]
]
forbidden.forEach(([title, change]) => {
  test(`${title} is not hedged`, () => assert.equal(decide(recordLatencies(20), change), HedgeDecisionKind.Never))
})

test('all but the attempt that responded are cancelled', () => {
  assert.deepEqual(listAttemptsToCancel(['first', 'second'], 'second'), ['first'])
})
