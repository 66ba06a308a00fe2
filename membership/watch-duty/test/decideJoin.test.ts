// Guards the start of a host: against calls to the store from every host that starts, and against a host
// that waits for seeds which never answer.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { decideJoin, JoinStep, type JoinProgress } from '../src/decideJoin.js'

const fresh: JoinProgress = { knownHosts: 0, otherSeeds: 3, seedAnswered: false, isSeed: false, storeRead: false, elapsedMilliseconds: 0 }
const decide = (change: Partial<JoinProgress>): JoinStep => decideJoin({ ...fresh, ...change })

test('seeds are asked first, and the store is read only if none of them answers for a second', () => {
  assert.deepEqual([0, 500, 999, 1_000].map(elapsedMilliseconds => decide({ elapsedMilliseconds })), [JoinStep.AskSeeds, JoinStep.AskSeeds, JoinStep.AskSeeds, JoinStep.ReadStore])
  assert.equal(decide({ otherSeeds: 0 }), JoinStep.ReadStore)
})

test('a host that knows another one, or that a seed has not heard of another one for, joins without the store', () => {
  assert.equal(decide({ knownHosts: 1 }), JoinStep.Joined)
  assert.equal(decide({ seedAnswered: true }), JoinStep.Joined)
})

test('a host whose seeds and store do not answer watches by itself', () => {
  assert.equal(decide({ storeRead: true, elapsedMilliseconds: 1_100 }), JoinStep.Joined)
})

test('a seed waits for the other seeds for a moment only, since the hosts that start later ask it', () => {
  assert.equal(decide({ isSeed: true, elapsedMilliseconds: 100 }), JoinStep.AskSeeds)
  assert.equal(decide({ isSeed: true, elapsedMilliseconds: 400 }), JoinStep.Joined)
  assert.equal(decide({ isSeed: true, otherSeeds: 0 }), JoinStep.Joined)
})
