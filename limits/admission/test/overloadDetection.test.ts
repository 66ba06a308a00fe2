// Guards against single saturated servers that are detected as overload, and against overload that is detected
// late or never cleared.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createOverloadState, isOverloaded, recordSelection } from '../src/overloadDetection.js'

test('one nearly saturated server in five selections is not overload', () => {
  const state = createOverloadState()
  const detected = Array.from({ length: 200 }, (_, index) => {
    recordSelection(state, index % 5 === 0)
    return isOverloaded(state)
  })
  assert.ok(detected.every(overloaded => !overloaded))
})

test('overload is detected within ten selections, and cleared within ten', () => {
  const state = createOverloadState()
  const feed = (nearlySaturated: boolean): void => Array.from({ length: 10 }).forEach(() => recordSelection(state, nearlySaturated))
  feed(true)
  assert.equal(isOverloaded(state), true)
  feed(false)
  assert.equal(isOverloaded(state), false)
})
