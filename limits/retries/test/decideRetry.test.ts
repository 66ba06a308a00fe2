// Guards against retry storms: more retries and hedges than the budget allows, a request that may have
// started and is sent twice, and several layers of a call tree that retry the same failure.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createRandom } from '@siskinbeam/random/createRandom'
import { carriesRetriedHeader, decideRetry, NoRetryReason, RetryCause, type RetryRequest } from '../src/decideRetry.js'
import { createRetryBudget, recordFirstSend, returnToken } from '../src/retryBudget.js'

const seed = 20
const request: RetryRequest = {
  cause: RetryCause.Failed, idempotent: true, retriedByCaller: false, maximumAttempts: 3, sends: 1, classRank: 0, deadlineAt: 1_000, expectedMilliseconds: 20
}

test('further sends stay within 10 % of the first sends when every first send requests one', () => {
  const [random, budget] = [createRandom(seed), createRetryBudget({ budgetShare: 0.1, now: 0 })]
  Array.from({ length: 100_000 }, (_, step) => step / 4).forEach(now => {
    recordFirstSend(budget, now)
    const cause = random() < 0.5 ? RetryCause.Hedge : RetryCause.NotStarted
    decideRetry({ budget, request: { ...request, cause, deadlineAt: now + 1_000 }, now, random })
  })
  const share = budget.furtherSends / budget.firstSends
  console.log(`seed=${seed} furtherSends=${budget.furtherSends} firstSends=${budget.firstSends} share=${share}`)
  assert.ok(share <= 0.1001, `share ${share}`)
  assert.ok(share >= 0.099, `share ${share}: the budget is not usable`)
})

test('no sequence of sends, times and returned tokens exceeds the budget share plus one token per period', () => {
  const steps = fc.array(fc.record({ first: fc.boolean(), hedge: fc.boolean(), returned: fc.boolean(), elapsed: fc.double({ min: 0, max: 3_000, noNaN: true }) }), { maxLength: 200 })
  fc.assert(fc.property(steps, fc.double({ min: 0, max: 1, noNaN: true }), (events, budgetShare) => {
    const budget = createRetryBudget({ budgetShare, now: 0 })
    const end = events.reduce((previous, { first, hedge, returned, elapsed }) => {
      const now = previous + elapsed
      if (first) recordFirstSend(budget, now)
      const cause = hedge ? RetryCause.Hedge : RetryCause.Failed
      const decision = decideRetry({ budget, request: { ...request, cause, deadlineAt: Infinity }, now, random: () => 0.5 })
      if (decision.retries && returned) returnToken(budget)
      return now
    }, 0)
    const allowed = budgetShare === 0 ? 0 : budgetShare * budget.firstSends + 1 + Math.floor(end / 5_000)
    return budget.furtherSends <= allowed + 1e-6
  }), { seed, numRuns: 500 })
})

test('a service with one request every ten seconds is granted a retry, but no hedge', () => {
  const budget = createRetryBudget({ budgetShare: 0.1, now: 0 })
  Array.from({ length: 20 }, (_, index) => index * 10_000).forEach(now => {
    recordFirstSend(budget, now)
    const decide = (cause: RetryCause) => decideRetry({ budget, request: { ...request, cause, deadlineAt: now + 1_000 }, now, random: () => 0 })
    assert.deepEqual(decide(RetryCause.Hedge), { retries: false, reason: NoRetryReason.BudgetUsed })
    assert.deepEqual(decide(RetryCause.Failed), { retries: true, delayMilliseconds: 0 })
  })
})

const refusals: Array<[string, Partial<RetryRequest>, NoRetryReason]> = [
  ['a non-idempotent request that may have started', { idempotent: false }, NoRetryReason.MayHaveStarted],
  ['a non-idempotent hedge', { idempotent: false, cause: RetryCause.Hedge }, NoRetryReason.MayHaveStarted],
  ['a failure below a layer that retries', { retriedByCaller: true }, NoRetryReason.OtherLayerRetries],
  ['a hedge below a layer that retries', { retriedByCaller: true, cause: RetryCause.Hedge }, NoRetryReason.OtherLayerRetries],
  ['a hedge of a crash suspect', { isolated: true, cause: RetryCause.Hedge }, NoRetryReason.Isolated],
  ['a shed request with all attempts used', { cause: RetryCause.NotStarted, sends: 3 }, NoRetryReason.AttemptsUsed],
  ['a request with less time left than the expected duration of an exchange', { deadlineAt: 15 }, NoRetryReason.DeadlineTooShort]
]
refusals.forEach(([title, change, reason]) => {
  test(`${title} is not sent again and takes no token`, () => {
    const budget = createRetryBudget({ budgetShare: 1, now: 0 })
    Array.from({ length: 8 }).forEach(() => recordFirstSend(budget, 0))
    assert.deepEqual(decideRetry({ budget, request: { ...request, ...change }, now: 0, random: () => 0 }), { retries: false, reason })
    assert.equal(budget.tokens, 9)
  })
})

test('a non-idempotent request that provably did not start is retried at once, then with exponential backoff and jitter', () => {
  const budget = createRetryBudget({ budgetShare: 1, now: 0 })
  Array.from({ length: 8 }).forEach(() => recordFirstSend(budget, 0))
  const delays = [1, 2, 3].map(sends => decideRetry({
    budget, request: { ...request, idempotent: false, cause: RetryCause.NotStarted, sends, maximumAttempts: 9 }, now: 0, random: () => 0.5
  }))
  assert.deepEqual(delays.map(decision => decision.retries && decision.delayMilliseconds), [0, 2.5, 5])
})

const callDepth = 22
/** Simulates call trees with one call per layer. Returns the sends of each layer and the number of completed trees. */
const simulateCallTrees = (count: number, leafFails: boolean, shedRatio: number): { sends: number[], completed: number } => {
  const random = createRandom(seed)
  const layers = Array.from({ length: callDepth }, () => ({ budget: createRetryBudget({ budgetShare: 0.1, now: 0 }), sends: 0 }))
  const call = (depth: number, retriedByCaller: boolean, now: number): boolean => {
    const layer = layers[depth]
    if (layer === undefined) return !leafFails
    const layerRequest = { idempotent: true, retriedByCaller, maximumAttempts: 3 }
    recordFirstSend(layer.budget, now)
    const send = (sends: number): boolean => {
      layer.sends += 1
      const isShed = random() < shedRatio
      if (!isShed && call(depth + 1, carriesRetriedHeader(layerRequest), now)) return true
      const cause = isShed ? RetryCause.NotStarted : RetryCause.Failed
      return decideRetry({ budget: layer.budget, request: { ...request, ...layerRequest, cause, sends, deadlineAt: Infinity }, now, random }).retries && send(sends + 1)
    }
    return send(1)
  }
  const completed = Array.from({ length: count }, (_, index) => call(0, false, index)).filter(Boolean).length
  return { sends: layers.map(({ sends }) => sends), completed }
}

test('a failing leaf of a tree of depth 22 gets at most 10 % more sends, since only one layer retries', () => {
  const { sends } = simulateCallTrees(4_000, true, 0)
  console.log(`seed=${seed} sends at the root=${sends[0]} at the leaf=${sends.at(-1)} of 4000`)
  assert.ok((sends.at(-1) as number) <= 4_000 * 1.1 + 2, `${sends.at(-1)} sends at the leaf`)
})

test('a shed ratio of 5 % at each of 22 layers does not fail the call tree', () => {
  const { sends, completed } = simulateCallTrees(4_000, false, 0.05)
  console.log(`seed=${seed} completed=${completed} of 4000, most sends of a layer=${Math.max(...sends)}`)
  assert.ok(completed >= 3_900, `${completed} of 4000 completed`)
  assert.ok(Math.max(...sends) <= 4_000 * 1.1 * 1.1 + 22, `${Math.max(...sends)} sends`)
})
