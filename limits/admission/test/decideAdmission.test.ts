// Guards admission at the host: against work that fills slots and ends late, and against more important
// requests that are refused before less important ones.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { decideAdmission, Importance, type AdmissionQuestion } from '../src/decideAdmission.js'

const seed = 20_261_204
const question: AdmissionQuestion = { estimate: 200, elapsed: 5, targetLatencyMilliseconds: 400, left: 990, importance: Importance.Less, hasRoom: false }

test('a request that would be answered in time is admitted', () => {
  assert.equal(decideAdmission(question).admitted, true)
})

test('a less important request that would be late is refused, with a time to come back', () => {
  const { admitted, retryAfterMilliseconds } = decideAdmission({ ...question, estimate: 600 })
  assert.equal(admitted, false)
  assert.ok(retryAfterMilliseconds > 0 && retryAfterMilliseconds <= 700)
})

test('no request is admitted whose answer would come after its deadline', () => {
  Object.values(Importance).forEach(importance => assert.equal(decideAdmission({ ...question, importance, estimate: 1_000 }).admitted, false))
})

test(`a more important request is admitted whenever a less important one is (seed ${seed})`, () => {
  const time = fc.nat({ max: 3_000 })
  fc.assert(fc.property(time, time, time, time, (estimate, elapsed, targetLatencyMilliseconds, left) => {
    const same = { estimate, elapsed, targetLatencyMilliseconds, left, hasRoom: false }
    if (decideAdmission({ ...same, importance: Importance.Less }).admitted) assert.equal(decideAdmission({ ...same, importance: Importance.Most }).admitted, true)
  }), { seed, numRuns: 1_000 })
})

test('a guest that comes back does not take the place of one that can be answered in time', () => {
  const busy = { ...question, estimate: 340 }
  assert.equal(decideAdmission({ ...busy, importance: Importance.Less }).admitted, true)
  assert.equal(decideAdmission({ ...busy, importance: Importance.ComesBack }).admitted, false)
  assert.equal(decideAdmission({ ...busy, estimate: 200, importance: Importance.ComesBack }).admitted, true)
})

test('while there is room nobody is refused, so that an estimate that is too long is corrected by answers', () => {
  Object.values(Importance).forEach(importance => assert.equal(decideAdmission({ ...question, estimate: 5_000, importance, hasRoom: true }).admitted, true))
})
