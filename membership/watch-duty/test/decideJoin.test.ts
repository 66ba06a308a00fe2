// Guards against calls to the store from every starting host, and against a host that waits indefinitely for
// seeds that do not answer.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { decideJoin, JoinStep, type JoinProgress } from '../src/decideJoin.js'

const fresh: JoinProgress = { knownHosts: 0, otherSeeds: 3, seedAnswered: false, isSeed: false, storeRead: false, elapsedMilliseconds: 0 }
const decide = (change: Partial<JoinProgress>): JoinStep => decideJoin({ ...fresh, ...change })

test('seeds are contacted first, and the store is read only if none of them answers within a second', () => {
  assert.deepEqual([0, 500, 999, 1_000].map(elapsedMilliseconds => decide({ elapsedMilliseconds })), [JoinStep.ContactSeeds, JoinStep.ContactSeeds, JoinStep.ContactSeeds, JoinStep.ReadStore])
  assert.equal(decide({ otherSeeds: 0 }), JoinStep.ReadStore)
})

test('a host joins without reading the store if it knows another host, or if a seed answered that it knows none', () => {
  assert.equal(decide({ knownHosts: 1 }), JoinStep.Joined)
  assert.equal(decide({ seedAnswered: true }), JoinStep.Joined)
})

test('a host whose seeds and store do not answer joins alone and watches the store itself', () => {
  assert.equal(decide({ storeRead: true, elapsedMilliseconds: 1_100 }), JoinStep.Joined)
})

test('a seed waits only briefly for the other seeds, because hosts that start later contact it', () => {
  assert.equal(decide({ isSeed: true, elapsedMilliseconds: 100 }), JoinStep.ContactSeeds)
  assert.equal(decide({ isSeed: true, elapsedMilliseconds: 400 }), JoinStep.Joined)
  assert.equal(decide({ isSeed: true, otherSeeds: 0 }), JoinStep.Joined)
})
