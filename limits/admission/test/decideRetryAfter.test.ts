// Guards against guests that are told to return when their target latency has passed, and against guests that were refused
// together and return in one wave.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createRandom } from '@siskinbeam/random/createRandom'
import { decideRetryAfter } from '../src/decideRetryAfter.js'

const seed = 20_261_204
const time = fc.integer({ min: 1, max: 5_000 })

test(`a guest returns while its target can be met, if it can be, and never later than it would accept (seed ${seed})`, () => {
  fc.assert(fc.property(fc.integer({ min: -1_000, max: 3_000 }), time, fc.integer({ min: 200, max: 5_000 }), fc.double({ min: 0, max: 0.999, noNaN: true }), (targetLeftMilliseconds, serviceTimeMilliseconds, remainingMilliseconds, drawn) => {
    const milliseconds = decideRetryAfter({ targetLeftMilliseconds, serviceTimeMilliseconds, remainingMilliseconds, random: () => drawn })
    assert.ok(milliseconds >= 60 && milliseconds <= Math.max(60, remainingMilliseconds / 3))
    if (targetLeftMilliseconds - serviceTimeMilliseconds * 1.2 >= 60) assert.ok(milliseconds + serviceTimeMilliseconds <= targetLeftMilliseconds)
  }), { seed, numRuns: 1_000 })
})

test(`guests refused at the same moment return spread over the time that is useful (seed ${seed})`, () => {
  const random = createRandom(seed)
  const times = Array.from({ length: 200 }, () => decideRetryAfter({ targetLeftMilliseconds: 600, serviceTimeMilliseconds: 220, remainingMilliseconds: 1_500, random }))
  const largestShare = Math.max(...Array.from({ length: 10 }, (_, index) => times.filter(milliseconds => Math.floor(milliseconds / 40) === index).length)) / times.length
  assert.ok(largestShare < 0.4, `${largestShare} of the guests return within 40 ms`)
})
