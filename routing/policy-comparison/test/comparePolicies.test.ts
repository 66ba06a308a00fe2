// Guards against a comparison that cannot be repeated, that lets variants meet different requests, or
// that reports a policy as good because requests were lost.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '@siskinbeam/random/createRandom'
import { comparePolicies, type ComparisonRow } from '../src/comparePolicies.js'
import { createVirtualTime } from '../src/eventQueue.js'
import { scenarios, variants, type Scenario, type Variant } from '../src/scenario.js'
import { createSimulatedServer } from '../src/simulatedServer.js'

const seeds = [1]
const compare = (scenario: string, ...names: string[]): ComparisonRow[] => comparePolicies({
  scenario: scenarios[scenario] as Scenario, variants: names.map(name => variants[name] as Variant), seeds, seconds: 3
})

test(`a run repeats and ranks the extremes, seeds ${seeds.join()}`, () => {
  const [random, omniscient, ours, again] = compare('trust', 'random', 'omniscient', 'ours', 'ours') as [ComparisonRow, ComparisonRow, ComparisonRow, ComparisonRow]
  assert.deepEqual(ours, again)
  assert.equal(random.requests, ours.requests)
  assert.equal(ours.failed, 0)
  assert.ok(omniscient.mean < ours.mean && ours.mean < random.mean, `${omniscient.mean} ${ours.mean} ${random.mean}`)
  assert.ok(ours.probes <= ours.requests)
})

test('ours keeps requests from stragglers', () => {
  const [two, ours] = compare('trust-stragglers', 'two-choices-own', 'ours') as [ComparisonRow, ComparisonRow]
  assert.ok(ours.p99 < two.p99 / 2, `${ours.p99} ${two.p99}`)
})

test('a server sheds beyond its queue, and a cancelled request frees its slot once', () => {
  const time = createVirtualTime()
  const server = createSimulatedServer({ time, random: createRandom(1), name: 'desk', slots: 1, queueLimit: 1, slowFactor: 1 })
  const completed: string[] = []
  const cancelFirst = server.accept(1, () => completed.push('first'))
  assert.ok(server.accept(1, () => completed.push('second')))
  assert.equal(server.accept(1, () => completed.push('third')), undefined)
  cancelFirst?.()
  cancelFirst?.()
  assert.deepEqual(server.report(), { inFlight: 1, queued: 0, slots: 1, latencyMilliseconds: 0 })
  time.runUntil(100)
  assert.deepEqual(completed, ['second'])
  assert.equal(server.report().inFlight, 0)
})
