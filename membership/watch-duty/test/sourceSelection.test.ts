// Guards against hosts that choose different sources although they know the same hosts, and against a failed
// source that is still followed.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { addHosts, chooseSource, createSourceSelection, recordIncomingCall, recordSourceFailure, recordSourceSuccess, SourceFailure, type SourceSelectionState, type KnownHost } from '../src/sourceSelection.js'

const createHost = (name: string, processorShare = 0.4): KnownHost => ({ name, peerAddress: `${name}:1`, guestAddress: `${name}:2`, processorShare })
const hosts = [createHost('b'), createHost('a'), createHost('large', 1.3)]
const createSelectionFor = (own: KnownHost): SourceSelectionState => {
  const selection = createSourceSelection(own)
  addHosts(selection, hosts)
  return selection
}

test('hosts that know each other choose the same source, the one with the largest processor share', () => {
  assert.deepEqual(hosts.map(own => chooseSource(createSelectionFor(own), own, 0).name), ['large', 'large', 'large'])
})

test('a failed source is skipped during its backoff, then called again', () => {
  const selection = createSelectionFor(createHost('b'))
  recordSourceFailure(selection, 'large', SourceFailure.OutOfDate, 0)
  assert.equal(chooseSource(selection, selection.own, 100).name, 'a')
  assert.equal(chooseSource(selection, selection.own, 60_000).name, 'large')
  recordSourceFailure(selection, 'large', SourceFailure.OutOfDate, 60_000)
  recordSourceSuccess(selection, 'large')
  assert.equal(chooseSource(selection, selection.own, 60_001).name, 'large')
})

test('if all hosts have failed, the current source is kept, so that an outage does not cause calls from all hosts', () => {
  const selection = createSelectionFor(createHost('b'))
  const current = createHost('a')
  ;['large', 'a', 'b'].forEach(name => recordSourceFailure(selection, name, SourceFailure.OutOfDate, 0))
  assert.equal(chooseSource(selection, current, 100).name, 'a')
})

test('a host that restarts at another address is followed there', () => {
  const selection = createSelectionFor(createHost('b'))
  assert.deepEqual(addHosts(selection, [{ ...createHost('a'), peerAddress: 'elsewhere:1' }, createHost('b'), createHost('large', 1.3)]).map(({ name }) => name), ['a'])
  assert.equal(selection.hosts.get('a')?.peerAddress, 'elsewhere:1')
})

// Each attempt to reach an unreachable host delays the caller for most of a second.
test('a host that does not answer is called with increasing backoff, and soon again once it calls', () => {
  const selection = createSelectionFor(createHost('b'))
  const isChosen = (now: number): boolean => chooseSource(selection, selection.own, now).name === 'large'
  ;[0, 3_000, 9_000].forEach(now => {
    assert.ok(now === 0 || isChosen(now), `at ${now}`)
    recordSourceFailure(selection, 'large', SourceFailure.Unresponsive, now)
  })
  assert.equal(isChosen(20_999), false)
  recordIncomingCall(selection, 'large')
  assert.equal(isChosen(12_001), true)
})
