// Guards against requests that are admitted although they will be late and so occupy slots, and against
// requests that are refused before ones with a lower priority.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { decideAdmission, RequestPriority, type DecideAdmissionOptions } from '../src/decideAdmission.js'

const seed = 20_261_204
const options: DecideAdmissionOptions = { estimatedLatencyMilliseconds: 200, elapsedMilliseconds: 5, targetLatencyMilliseconds: 400, remainingMilliseconds: 990, priority: RequestPriority.Lower, hasSpareCapacity: false }

test('a request that would be completed in time is admitted', () => {
  assert.equal(decideAdmission(options), true)
})

test('a request with a lower priority that would be late is refused', () => {
  assert.equal(decideAdmission({ ...options, estimatedLatencyMilliseconds: 600 }), false)
})

test('no request is admitted if its response would come after the deadline', () => {
  Object.values(RequestPriority).forEach(priority => assert.equal(decideAdmission({ ...options, priority, estimatedLatencyMilliseconds: 1_000 }), false))
})

test(`a request with the highest priority is admitted whenever one with a lower priority is (seed ${seed})`, () => {
  const time = fc.nat({ max: 3_000 })
  fc.assert(fc.property(time, time, time, time, (estimatedLatencyMilliseconds, elapsedMilliseconds, targetLatencyMilliseconds, remainingMilliseconds) => {
    const common = { estimatedLatencyMilliseconds, elapsedMilliseconds, targetLatencyMilliseconds, remainingMilliseconds, hasSpareCapacity: false }
    if (decideAdmission({ ...common, priority: RequestPriority.Lower })) assert.equal(decideAdmission({ ...common, priority: RequestPriority.Highest }), true)
  }), { seed, numRuns: 1_000 })
})

test('a returning request whose target has passed does not displace one that can be completed in time', () => {
  const busy = { ...options, estimatedLatencyMilliseconds: 340 }
  assert.equal(decideAdmission(busy), true)
  Object.values(RequestPriority).forEach(priority => assert.equal(decideAdmission({ ...busy, priority, elapsedMilliseconds: 350 }), false))
})

test('a returning request that can still be completed in time is admitted like a first attempt', () => {
  Object.values(RequestPriority).forEach(priority => assert.equal(decideAdmission({ ...options, priority, elapsedMilliseconds: 150 }), true))
})

test('no request is refused while there is spare capacity, so that new measurements correct an overestimated latency', () => {
  Object.values(RequestPriority).forEach(priority => assert.equal(decideAdmission({ ...options, estimatedLatencyMilliseconds: 5_000, priority, hasSpareCapacity: true }), true))
})
