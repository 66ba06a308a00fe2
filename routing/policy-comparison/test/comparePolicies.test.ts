// Verifies that a comparison is reproducible, that all variants get the same requests, and that a policy does not
// appear good because requests were lost.
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

test(`a run is reproducible, and ours is between omniscient and random, seeds ${seeds.join()}`, () => {
  const [random, omniscient, ours, again] = compare('trust', 'random', 'omniscient', 'ours', 'ours') as [ComparisonRow, ComparisonRow, ComparisonRow, ComparisonRow]
  assert.deepEqual(ours, again)
  assert.equal(random.requests, ours.requests)
  assert.equal(ours.failed, 0)
  assert.ok(omniscient.mean < ours.mean && ours.mean < random.mean, `${omniscient.mean} ${ours.mean} ${random.mean}`)
  assert.ok(ours.probes <= ours.requests)
})

test('ours keeps requests away from stragglers', () => {
  const [two, ours] = compare('trust-stragglers', 'two-choices-own', 'ours') as [ComparisonRow, ComparisonRow]
  assert.ok(ours.p99 < two.p99 / 2, `${ours.p99} ${two.p99}`)
})

test('a server sheds requests beyond its queue limit, and a cancelled request frees its slot only once', () => {
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
