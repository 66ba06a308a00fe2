// Guards against hosts that together send more health checks than the users allow, and against a share that is used up by a short burst.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createProbeShare, takeProbes } from '../src/probeShare.js'

const seed = 20_261_205
const burstSeconds = 10

test(`whatever the requests, a host stays within its rate and ten seconds of it (seed ${seed})`, () => {
  fc.assert(fc.property(fc.array(fc.record({ wait: fc.integer({ min: 0, max: 400 }), wanted: fc.integer({ min: 0, max: 5 }) }), { maxLength: 300 }), fc.integer({ min: 1, max: 200 }), (requests, perSecond) => {
    const share = createProbeShare(0)
    let now = 0
    let taken = 0
    requests.forEach(({ wait, wanted }) => {
      now += wait
      const allowed = takeProbes(share, { wanted, perSecond, now })
      assert.ok(allowed >= 0 && allowed <= wanted)
      taken += allowed
      assert.ok(taken <= perSecond * (now / 1_000 + burstSeconds) + 1e-6)
    })
  }), { seed, numRuns: 2_000 })
})

test('a burst gets all its probes first, then one each, then what the rate allows, and a quiet time restores the share', () => {
  const share = createProbeShare(0)
  const take = (now: number): number => takeProbes(share, { wanted: 3, perSecond: 50, now })
  const burst = Array.from({ length: 400 }, () => take(0))
  assert.equal(burst.reduce((sum, taken) => sum + taken, 0), 500)
  assert.deepEqual([burst[0], burst[60], burst[100], burst[399]], [3, 3, 1, 0])
  assert.deepEqual(Array.from({ length: 5 }, (_, index) => take((index + 1) * 20)), [1, 1, 1, 1, 1])
  assert.equal(take(60_000), 3)
})
