// Guards against starting a server twice. Two overlapping faults both found the server stopped; the second process
// could not bind the address, which aborted the run.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { coalesceCalls } from '../src/cluster/coalesceCalls.js'

test('concurrent calls for a key share one start, and a later call starts again', async () => {
  let started = 0
  const restart = coalesceCalls<string>(async () => {
    started += 1
    await new Promise(resolve => setImmediate(resolve))
  })
  await Promise.all([restart('a'), restart('a'), restart('b')])
  assert.equal(started, 2)
  await restart('a')
  assert.equal(started, 3)
})

test('a failed start rejects all concurrent calls, and a later call starts again', async () => {
  let started = 0
  const restart = coalesceCalls<string>(async () => {
    started += 1
    if (started === 1) throw new Error('the address is in use')
  })
  const first = await Promise.allSettled([restart('a'), restart('a')])
  assert.deepEqual(first.map(({ status }) => status), ['rejected', 'rejected'])
  await restart('a')
  assert.equal(started, 2)
})
