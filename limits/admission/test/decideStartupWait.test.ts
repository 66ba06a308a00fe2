// Guards against requests that are refused milliseconds before the host has its first configuration, and
// against requests that are held by a host that will not receive one.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { decideStartupWait } from '../src/decideStartupWait.js'

test('a host that has just started holds a request', () => {
  assert.ok(decideStartupWait({ hostAgeMilliseconds: 20, guestWaitMilliseconds: 2_500 }) >= 300)
})

test('a host that has been up for seconds without a configuration refuses at once', () => {
  assert.equal(decideStartupWait({ hostAgeMilliseconds: 3_000, guestWaitMilliseconds: 2_500 }), 0)
})

test('a request never waits for more than a third of the guest\'s waiting time, nor for a negative time', () => {
  fc.assert(fc.property(fc.nat(5_000), fc.nat(20_000), (hostAgeMilliseconds, guestWaitMilliseconds) => {
    const wait = decideStartupWait({ hostAgeMilliseconds, guestWaitMilliseconds })
    return wait >= 0 && wait <= guestWaitMilliseconds / 3
  }), { seed: 20_261_204 })
})
