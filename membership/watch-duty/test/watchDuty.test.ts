// Guards the choice of the host that watches the store: against hosts that choose differently though they
// know the same, and against a failed host that is followed on.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { addHosts, chooseSource, createDutyState, noteHostCalled, noteSourceFailed, noteSourceWorks, SourceFailure, type DutyState, type KnownHost } from '../src/watchDuty.js'

const describe = (name: string, processorShare = 0.4): KnownHost => ({ name, peerAddress: `${name}:1`, guestAddress: `${name}:2`, processorShare })
const hosts = [describe('b'), describe('a'), describe('large', 1.3)]
const createFor = (own: KnownHost): DutyState => {
  const duty = createDutyState(own)
  addHosts(duty, hosts)
  return duty
}

test('hosts that know each other choose the same source, the one with most processor time', () => {
  assert.deepEqual(hosts.map(own => chooseSource(createFor(own), own, 0).name), ['large', 'large', 'large'])
})

test('a failed source is passed over for a while, then tried again', () => {
  const duty = createFor(describe('b'))
  noteSourceFailed(duty, 'large', SourceFailure.OutOfDate, 0)
  assert.equal(chooseSource(duty, duty.own, 100).name, 'a')
  assert.equal(chooseSource(duty, duty.own, 60_000).name, 'large')
  noteSourceFailed(duty, 'large', SourceFailure.OutOfDate, 60_000)
  noteSourceWorks(duty, 'large')
  assert.equal(chooseSource(duty, duty.own, 60_001).name, 'large')
})

test('if all have failed, the present source is kept, so that an outage is not met with calls from all hosts', () => {
  const duty = createFor(describe('b'))
  const present = describe('a')
  ;['large', 'a', 'b'].forEach(name => noteSourceFailed(duty, name, SourceFailure.OutOfDate, 0))
  assert.equal(chooseSource(duty, present, 100).name, 'a')
})

test('a host that comes back at another address is followed there', () => {
  const duty = createFor(describe('b'))
  assert.deepEqual(addHosts(duty, [{ ...describe('a'), peerAddress: 'elsewhere:1' }, describe('b'), describe('large', 1.3)]).map(({ name }) => name), ['a'])
  assert.equal(duty.hosts.get('a')?.peerAddress, 'elsewhere:1')
})

// Each try of a host that is cut off holds up its caller for most of a second.
test('a host that stays silent is tried less and less often, and soon again once it calls', () => {
  const duty = createFor(describe('b'))
  const isTried = (now: number): boolean => chooseSource(duty, duty.own, now).name === 'large'
  ;[0, 3_000, 9_000].forEach(now => {
    assert.ok(now === 0 || isTried(now), `at ${now}`)
    noteSourceFailed(duty, 'large', SourceFailure.Silent, now)
  })
  assert.equal(isTried(20_999), false)
  noteHostCalled(duty, 'large')
  assert.equal(isTried(12_001), true)
})
