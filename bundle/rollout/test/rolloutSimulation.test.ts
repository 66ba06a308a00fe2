// Guards against replacing a bundle by an older one, activating a forged or unapproved bundle, serving with an
// old bundle after a pause, and a reachable host that lacks the new version after 5 s.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { simulateRollouts } from './rolloutSimulation.js'

const runs = [{ seed: 20_261_204, hostCount: 9 }, { seed: 116, hostCount: 13 }]
runs.forEach(({ seed, hostCount }) => test(`${hostCount} hosts activate only accepted bundles and converge under faults, seed ${seed}`, context => {
  const counts = simulateRollouts(seed, hostCount, 120_000)
  context.diagnostic(`seed=${seed} ${Object.entries(counts).map(([name, count]) => `${name}=${count}`).join(' ')}`)
  assert.ok(Math.min(counts.rollouts, counts.refusals, counts.restarts, counts.pauses, counts.outages) > 10, 'the run must contain each kind of fault')
}))
