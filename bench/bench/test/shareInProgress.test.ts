// Guards against a server of a run that is started twice, since two faults that overlap both found it dead:
// the second process could not bind its address, and the run ended.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { shareInProgress } from '../src/cluster/shareInProgress.js'

test('two that ask at the same time share one start, and a later one starts again', async () => {
  let started = 0
  const restart = shareInProgress<string>(async () => {
    started += 1
    await new Promise(resolve => setImmediate(resolve))
  })
  await Promise.all([restart('a'), restart('a'), restart('b')])
  assert.equal(started, 2)
  await restart('a')
  assert.equal(started, 3)
})

test('a start that fails is told to all that wait, and the next one is tried', async () => {
  let started = 0
  const restart = shareInProgress<string>(async () => {
    started += 1
    if (started === 1) throw new Error('the address is in use')
  })
  const first = await Promise.allSettled([restart('a'), restart('a')])
  assert.deepEqual(first.map(({ status }) => status), ['rejected', 'rejected'])
  await restart('a')
  assert.equal(started, 2)
})
