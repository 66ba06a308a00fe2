// Guards against first attempts that are taken for returning ones because a few guests wait longer than the others, and
// against returning guests that are not recognized.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTimeoutCounts, recordTimeout } from '../src/timeBeforeArrival.js'

test('a shorter timeout than the usual one tells how long the guest has been trying', () => {
  const state = createTimeoutCounts()
  Array.from({ length: 20 }).forEach(() => recordTimeout(state, 1_500))
  assert.equal(recordTimeout(state, 1_100), 400)
  assert.equal(recordTimeout(state, 1_480), 0)
  assert.equal(recordTimeout(state, 1_500), 0)
})

test('a few guests that wait longer do not make the others look like returning guests', () => {
  const state = createTimeoutCounts()
  const estimates = Array.from({ length: 300 }, (_, index) => recordTimeout(state, index % 20 === 7 ? 9_000 : 1_500))
  assert.ok(estimates.slice(1).every(elapsed => elapsed === 0))
})

test('without a usual timeout no guest counts as returning', () => {
  const state = createTimeoutCounts()
  const estimates = Array.from({ length: 300 }, (_, index) => recordTimeout(state, 1_000 + 7 * (index % 200)))
  assert.ok(estimates.slice(10).every(elapsed => elapsed === 0))
})

test('a new usual timeout is learnt within a few hundred requests', () => {
  const state = createTimeoutCounts()
  Array.from({ length: 400 }).forEach(() => recordTimeout(state, 1_500))
  Array.from({ length: 400 }).forEach(() => recordTimeout(state, 1_000))
  assert.equal(recordTimeout(state, 1_000), 0)
})
