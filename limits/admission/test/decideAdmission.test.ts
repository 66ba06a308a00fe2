// Guards admission at the host: against work that fills slots and ends late, and against more important
// requests that are refused before less important ones.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { decideAdmission, type AdmissionQuestion } from '../src/decideAdmission.js'

const seed = 20_261_204
const question: AdmissionQuestion = { estimate: 200, elapsed: 5, targetLatencyMilliseconds: 400, left: 990, isLessImportant: true }

test('a request that would be answered in time is admitted', () => {
  assert.equal(decideAdmission(question).admitted, true)
})

test('a less important request that would be late is refused, with a time to come back', () => {
  const { admitted, retryAfterMilliseconds } = decideAdmission({ ...question, estimate: 600 })
  assert.equal(admitted, false)
  assert.ok(retryAfterMilliseconds > 0 && retryAfterMilliseconds <= 400)
})

test('no request is admitted whose answer would come after its deadline', () => {
  [true, false].forEach(isLessImportant => assert.equal(decideAdmission({ ...question, isLessImportant, estimate: 1_000 }).admitted, false))
})

test(`a more important request is admitted whenever a less important one is (seed ${seed})`, () => {
  const time = fc.nat({ max: 3_000 })
  fc.assert(fc.property(time, time, time, time, (estimate, elapsed, targetLatencyMilliseconds, left) => {
    const same = { estimate, elapsed, targetLatencyMilliseconds, left }
    if (decideAdmission({ ...same, isLessImportant: true }).admitted) assert.equal(decideAdmission({ ...same, isLessImportant: false }).admitted, true)
  }), { seed, numRuns: 1_000 })
})
