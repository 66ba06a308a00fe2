// Guards against requests that are admitted although they will be late and so occupy slots, and against
// requests that are refused before ones with a lower priority.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { decideAdmission, RequestPriority, type DecideAdmissionOptions } from '../src/decideAdmission.js'

const seed = 20_261_204
const options: DecideAdmissionOptions = { estimatedLatencyMilliseconds: 200, elapsedMilliseconds: 5, targetLatencyMilliseconds: 400, remainingMilliseconds: 990, priority: RequestPriority.Lower, exceedsProductiveLoad: false, hasSpareCapacity: false }

test('a request that would be completed in time is admitted', () => {
  assert.equal(decideAdmission(options).admitted, true)
})

test('a request with a lower priority that would be late is refused with a retry-after time', () => {
  const { admitted, retryAfterMilliseconds } = decideAdmission({ ...options, estimatedLatencyMilliseconds: 600 })
  assert.equal(admitted, false)
  assert.ok(retryAfterMilliseconds > 0 && retryAfterMilliseconds <= 700)
})

test('no request is admitted if its response would come after the deadline', () => {
  Object.values(RequestPriority).forEach(priority => assert.equal(decideAdmission({ ...options, priority, estimatedLatencyMilliseconds: 1_000 }).admitted, false))
})

test(`a request with the highest priority is admitted whenever one with a lower priority is (seed ${seed})`, () => {
  const time = fc.nat({ max: 3_000 })
  fc.assert(fc.property(time, time, time, time, fc.boolean(), (estimatedLatencyMilliseconds, elapsedMilliseconds, targetLatencyMilliseconds, remainingMilliseconds, exceedsProductiveLoad) => {
    const common = { estimatedLatencyMilliseconds, elapsedMilliseconds, targetLatencyMilliseconds, remainingMilliseconds, exceedsProductiveLoad, hasSpareCapacity: false }
    if (decideAdmission({ ...common, priority: RequestPriority.Lower }).admitted) assert.equal(decideAdmission({ ...common, priority: RequestPriority.Highest }).admitted, true)
  }), { seed, numRuns: 1_000 })
})

test('a request repeated after a refusal does not displace one that can be completed in time', () => {
  const busy = { ...options, estimatedLatencyMilliseconds: 340 }
  assert.equal(decideAdmission({ ...busy, priority: RequestPriority.Lower }).admitted, true)
  assert.equal(decideAdmission({ ...busy, priority: RequestPriority.Repeated }).admitted, false)
  assert.equal(decideAdmission({ ...busy, estimatedLatencyMilliseconds: 200, priority: RequestPriority.Repeated }).admitted, true)
})

test('no request is refused while there is spare capacity, so that new measurements correct an overestimated latency', () => {
  Object.values(RequestPriority).forEach(priority => assert.equal(decideAdmission({ ...options, estimatedLatencyMilliseconds: 5_000, priority, hasSpareCapacity: true }).admitted, true))
})

test('slots beyond the most productive load of a shared server are left to the requests with the highest priority', () => {
  const shared = { ...options, exceedsProductiveLoad: true }
  assert.equal(decideAdmission({ ...shared, priority: RequestPriority.Lower }).admitted, false)
  assert.equal(decideAdmission({ ...shared, priority: RequestPriority.Highest }).admitted, true)
})
