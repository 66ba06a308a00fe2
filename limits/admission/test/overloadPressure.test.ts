// Guards the view of overload: against single full servers that count as overload, and overload that is
// noticed late or never ends.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createPressure, isOverloaded, noteChoice } from '../src/overloadPressure.js'

test('one full server in five choices is no overload', () => {
  const state = createPressure()
  const seen = Array.from({ length: 200 }, (_, index) => {
    noteChoice(state, index % 5 === 0)
    return isOverloaded(state)
  })
  assert.ok(seen.every(overloaded => !overloaded))
})

test('overload shows within ten choices, and ends within ten', () => {
  const state = createPressure()
  const feed = (nearlyFull: boolean): void => Array.from({ length: 10 }).forEach(() => noteChoice(state, nearlyFull))
  feed(true)
  assert.equal(isOverloaded(state), true)
  feed(false)
  assert.equal(isOverloaded(state), false)
})
