// Guards the model of the users' platform: against runs that do not repeat, against a model that ranks the
// ways to choose a server other than the users' bench does, and against decisions that lose credit in it.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createVirtualTime } from '@siskinbeam/policy-comparison/eventQueue'
import { createRandom } from '@siskinbeam/random/createRandom'
import { runPlatform, type PlatformRow } from '../src/runPlatform.js'
import { PlatformPolicy, platformScenarios, type PlatformScenario } from '../src/platformScenario.js'
import { createPlatformServer, SlowdownModel } from '../src/platformServer.js'

const seed = 11
const run = (scenario: string, policy: PlatformPolicy, change: Partial<PlatformScenario> = {}): PlatformRow =>
  runPlatform({ scenario: { ...platformScenarios[scenario] as PlatformScenario, ...change }, policy, seed, seconds: 20 })

test(`a run repeats, and every policy meets the same requests (seed ${seed})`, () => {
  assert.deepEqual(run('trust', PlatformPolicy.Ours), run('trust', PlatformPolicy.Ours))
  assert.equal(run('trust', PlatformPolicy.Ours).requests, run('trust', PlatformPolicy.Random).requests)
})

test(`without lost capacity 0.98 of the credit is earned, and a random choice earns less than 0.8 (seed ${seed})`, () => {
  ;['trust', 'cascadia'].forEach(scenario => {
    const ours = run(scenario, PlatformPolicy.Ours)
    assert.ok(ours.credit >= 0.98, `${scenario}: ${ours.credit}`)
    assert.ok(run(scenario, PlatformPolicy.Random).credit < 0.8, scenario)
  })
})

test(`in overload refusals keep the credit that queues would lose (seed ${seed})`, () => {
  ;['trust-overload', 'cascadia-overload'].forEach(scenario => {
    const ours = run(scenario, PlatformPolicy.Ours)
    const unlimited = run(scenario, PlatformPolicy.QueryRounds)
    assert.ok(ours.credit > unlimited.credit + 0.1, `${scenario}: ${ours.credit} against ${unlimited.credit}`)
  })
})

test('work keeps its pace or follows the machine, as the scenario says, and a full queue sheds', () => {
  const finishTimes = (workPace: SlowdownModel): number[] => Array.from({ length: 40 }, (_, index) => {
    const time = createVirtualTime()
    const server = createPlatformServer({ time, random: createRandom(index), name: 'desk', dataCentre: 0, slots: 1, queueLimit: 1, workPace })
    let finishedAt = 0
    assert.ok(server.accept(1_000, () => { finishedAt = time.now }))
    assert.ok(server.accept(1, () => {}))
    assert.equal(server.accept(1, () => {}), false)
    time.runUntil(20_000)
    return finishedAt
  })
  assert.deepEqual([...new Set(finishTimes(SlowdownModel.FixedAtStart))].sort((first, second) => first - second), [1_000, 7_000])
  assert.ok(new Set(finishTimes(SlowdownModel.Varying)).size > 10)
})
