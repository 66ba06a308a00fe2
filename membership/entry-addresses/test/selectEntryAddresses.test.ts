// Guards against guests that are directed to leaving or suspected hosts, all to the same host, or to none.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { MemberEntry } from '@siskinbeam/entry-hosts/memberEntry'
import { createMembershipState, suspicionTimeoutMilliseconds } from '@siskinbeam/entry-hosts/membershipState'
import { MembershipEventKind, stepMembership } from '@siskinbeam/entry-hosts/stepMembership'
import { createRandom } from '@siskinbeam/random/createRandom'
import { selectEntryAddresses } from '../src/selectEntryAddresses.js'

const random = createRandom(20_261_204)
const rule = { maximumAddresses: 6, timeToLiveSeconds: 10 }
const entryOf = (index: number, changes: Partial<MemberEntry> = {}): MemberEntry => ({
  host: `entry-${index}`, bootId: '0'.repeat(16), counter: 1, dataCentre: `dc-${index % 3}`, guestAddress: `10.0.0.${index}:80`, peerAddress: `10.0.0.${index}:81`, leaving: false, suspected: false, suspectedMilliseconds: 0, bundleVersion: 1, ...changes
})
const createMembershipWith = (members: MemberEntry[]) => {
  const state = createMembershipState({ ...entryOf(0), now: 0 })
  members.forEach(sender => stepMembership({ state, event: { kind: MembershipEventKind.HeartbeatReceived, heartbeat: { sender, members: [] }, answerRequired: false }, now: 0, random }))
  return state
}

test('hosts of the data centre of the guest come first, and the list is bounded and without duplicates', () => {
  const membership = createMembershipWith(Array.from({ length: 12 }, (_, index) => entryOf(index + 1)))
  const { addresses, timeToLiveSeconds } = selectEntryAddresses({ membership, dataCentre: 'dc-1', rule, now: 0, random })
  assert.deepEqual(addresses.map(({ dataCentre }) => dataCentre === 'dc-1'), [true, true, true, true, false, false])
  assert.equal(new Set(addresses.map(({ address }) => address)).size, 6)
  assert.equal(timeToLiveSeconds, 10)
})

test('guests are distributed evenly over the hosts of a data centre', () => {
  const membership = createMembershipWith(Array.from({ length: 9 }, (_, index) => entryOf(3 * (index + 1))))
  const first = Array.from({ length: 10_000 }, () => selectEntryAddresses({ membership, rule, now: 0, random }).addresses[0]?.address ?? '')
  const counts = [...new Set(first)].map(address => first.filter(other => other === address).length)
  assert.ok(counts.length === 10 && counts.every(count => Math.abs(count - 1_000) < 150), counts.join())
})

test('leaving hosts, and suspected hosts after the suspicion timeout, are excluded, and this host remains', () => {
  const membership = createMembershipWith([entryOf(1, { leaving: true }), entryOf(2)])
  const suspicion = { sender: entryOf(1, { leaving: true }), members: [entryOf(2, { suspected: true })] }
  stepMembership({ state: membership, event: { kind: MembershipEventKind.HeartbeatReceived, heartbeat: suspicion, answerRequired: false }, now: 0, random })
  const listAt = (now: number): string[] => selectEntryAddresses({ membership, dataCentre: 'dc-2', rule, now, random }).addresses.map(({ address }) => address)
  assert.deepEqual(listAt(suspicionTimeoutMilliseconds - 1), ['10.0.0.2:80', '10.0.0.0:80'])
  assert.deepEqual(listAt(suspicionTimeoutMilliseconds), ['10.0.0.0:80'])
  stepMembership({ state: membership, event: { kind: MembershipEventKind.Leaving }, now: suspicionTimeoutMilliseconds, random })
  assert.deepEqual(listAt(suspicionTimeoutMilliseconds), [], 'a leaving host does not list itself')
})
