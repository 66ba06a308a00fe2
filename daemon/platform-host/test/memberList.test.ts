// Guards against hosts that stay listed after they have stopped calling, and against pending calls that each scan the
// whole list.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createMemberList } from '../src/dataCentre/memberList.js'
import type { Member } from '../src/dataCentre/peerMessages.js'

const describeMember = (name: string): Member => ({ name, dataCentre: 'north', peerAddress: `${name}:1`, guestAddress: `${name}:2`, processorShare: 0.2, ready: true })

test('a host that has stopped calling expires', () => {
  let now = 0
  const members = createMemberList(() => describeMember('own'), () => now)
  members.recordCall(describeMember('other'))
  assert.equal(members.list().length, 2)
  now = 1_500
  assert.deepEqual(members.list().map(({ name }) => name), ['own'])
})

test('repeated reads of the revision do not each scan the list', () => {
  let clockReads = 0
  const members = createMemberList(() => describeMember('own'), () => { clockReads += 1; return 0 })
  Array.from({ length: 100 }, (_, index) => index).forEach(index => members.recordCall(describeMember(`host-${index}`)))
  members.revision()
  clockReads = 0
  Array.from({ length: 100 }).forEach(() => members.revision())
  assert.ok(clockReads < 1_000, `${clockReads} clock reads for 100 reads of the revision with 100 hosts`)
})
