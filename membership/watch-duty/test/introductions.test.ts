// Guards the list that seeds keep: against hosts of other data centres, hosts that are long gone, and growth.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createIntroductions, listIntroduced, noteIntroduction } from '../src/introductions.js'
import type { KnownHost } from '../src/watchDuty.js'

const describe = (name: string, processorShare = 0.4): KnownHost => ({ name, peerAddress: `${name}:1`, guestAddress: `${name}:2`, processorShare })

test('hosts of the data centre are listed in the order of sources, each with what it said last', () => {
  const state = createIntroductions()
  noteIntroduction(state, 'north', describe('b'), 0)
  noteIntroduction(state, 'north', describe('c', 1.3), 1)
  noteIntroduction(state, 'south', describe('a'), 2)
  noteIntroduction(state, 'north', { ...describe('b'), peerAddress: 'elsewhere:1' }, 3)
  assert.deepEqual(listIntroduced(state, 'north', 8, 4).map(({ name, peerAddress }) => [name, peerAddress]), [['c', 'c:1'], ['b', 'elsewhere:1']])
  assert.deepEqual(listIntroduced(state, 'west', 8, 4), [])
})

test('hosts that were not heard of for half a minute are left out', () => {
  const state = createIntroductions()
  noteIntroduction(state, 'north', describe('a'), 0)
  noteIntroduction(state, 'north', describe('b'), 10_000)
  assert.deepEqual(listIntroduced(state, 'north', 8, 30_001).map(({ name }) => name), ['b'])
})

test('of a thousand hosts a few dozen are kept, those that come first', () => {
  const state = createIntroductions()
  Array.from({ length: 1_000 }, (_, index) => index).forEach(index => noteIntroduction(state, 'north', describe(`host-${index}`, index / 1_000), index))
  assert.equal(state.byDataCentre.get('north')?.size, 32)
  assert.deepEqual(listIntroduced(state, 'north', 2, 1_000).map(({ name }) => name), ['host-999', 'host-998'])
})
