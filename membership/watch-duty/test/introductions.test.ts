// Guards against introductions that list hosts of other data centres or expired hosts, or that grow without bound.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createIntroductions, listIntroduced, recordIntroduction } from '../src/introductions.js'
import type { KnownHost } from '../src/sourceSelection.js'

const createHost = (name: string, processorShare = 0.4): KnownHost => ({ name, peerAddress: `${name}:1`, guestAddress: `${name}:2`, processorShare })

test('hosts of the data centre are listed in source order, each with its latest introduction', () => {
  const state = createIntroductions()
  recordIntroduction(state, 'north', createHost('b'), 0)
  recordIntroduction(state, 'north', createHost('c', 1.3), 1)
  recordIntroduction(state, 'south', createHost('a'), 2)
  recordIntroduction(state, 'north', { ...createHost('b'), peerAddress: 'elsewhere:1' }, 3)
  assert.deepEqual(listIntroduced(state, 'north', 8, 4).map(({ name, peerAddress }) => [name, peerAddress]), [['c', 'c:1'], ['b', 'elsewhere:1']])
  assert.deepEqual(listIntroduced(state, 'west', 8, 4), [])
})

test('hosts without an introduction in the last 30 seconds are not listed', () => {
  const state = createIntroductions()
  recordIntroduction(state, 'north', createHost('a'), 0)
  recordIntroduction(state, 'north', createHost('b'), 10_000)
  assert.deepEqual(listIntroduced(state, 'north', 8, 30_001).map(({ name }) => name), ['b'])
})

test('of a thousand hosts, only the first 32 in source order are kept', () => {
  const state = createIntroductions()
  Array.from({ length: 1_000 }, (_, index) => index).forEach(index => recordIntroduction(state, 'north', createHost(`host-${index}`, index / 1_000), index))
  assert.equal(state.byDataCentre.get('north')?.size, 32)
  assert.deepEqual(listIntroduced(state, 'north', 2, 1_000).map(({ name }) => name), ['host-999', 'host-998'])
})
