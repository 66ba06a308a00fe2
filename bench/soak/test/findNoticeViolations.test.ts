// Guards the check of what servers say of themselves against missed violations, and against counting what the users excuse.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunEvent, type RunLogEntry } from '@siskinbeam/stand-in-platform-server/runLogEntry'
import { DisturbanceKind, type Disturbance } from '../src/disturbance.js'
import { findNoticeViolations } from '../src/findNoticeViolations.js'
import { ViolationKind } from '../src/findViolations.js'
import type { ObservedRequest } from '../src/observedRequest.js'

const request = (id: string, sentAt: number, leavingServer?: string): ObservedRequest =>
  ({ id, unsafe: false, host: 'host-0', sentAt, endedAt: sentAt + 10, status: 200, isExpectedResponse: true, reused: false, hasResponseBytes: true, limitedServer: undefined, leavingServer })
const contact = (id: string, at: number): RunLogEntry => ({ at, event: RunEvent.Contacted, server: 'i-1', request: id, unsafe: false })

const check = (requests: ObservedRequest[], runs: RunLogEntry[], { disturbed = [], cut = [] }: { disturbed?: Disturbance[], cut?: Array<{ from: number, to: number }> } = {}): ViolationKind[] =>
  findNoticeViolations({ requests, runs, disturbancesOf: () => disturbed, linkDisturbances: cut }).map(({ kind }) => kind)

test('a request that was sent later than the drain time after the word of a server that leaves is a violation, unless the host was disturbed', () => {
  const told = request('a', 0, 'i-1')
  assert.deepEqual(check([told, request('b', 2_005)], [contact('b', 2_010)]), [])
  assert.deepEqual(check([told, request('b', 2_015)], [contact('b', 2_020)]), [ViolationKind.IgnoredNotice])
  assert.deepEqual(check([told, { ...request('b', 2_015), host: 'host-1' }], [contact('b', 2_020)]), [])
  assert.deepEqual(check([told, request('b', 2_015)], [contact('b', 2_020)], { disturbed: [{ from: 1_000, to: 1_500, kind: DisturbanceKind.Killed }] }), [])
  assert.deepEqual(check([told, request('b', 2_015)], [contact('b', 2_020)], { disturbed: [{ from: -500, to: -100, kind: DisturbanceKind.Killed }] }), [ViolationKind.IgnoredNotice])
})

test('more than two requests in a pause, from half a second after the answer, are a violation, unless the host or the links were disturbed', () => {
  const requests = ['a', 'b', 'c', 'd'].map(id => request(id, 0))
  const turnedAway: RunLogEntry = { at: 0, event: RunEvent.TurnedAway, server: 'i-1', request: 'a', unsafe: false, pauseMilliseconds: 3_000 }
  const contacts = (times: number[]): RunLogEntry[] => [turnedAway, ...times.map((at, index) => contact(['b', 'c', 'd'][index] ?? '', at))]
  assert.deepEqual(check(requests, contacts([400, 450, 490])), [])
  assert.deepEqual(check(requests, contacts([600, 700])), [])
  assert.deepEqual(check(requests, contacts([600, 700, 2_900])), [ViolationKind.IgnoredNotice])
  assert.deepEqual(check(requests, contacts([600, 700, 3_100])), [])
  assert.deepEqual(check(requests, contacts([600, 700, 2_900]), { disturbed: [{ from: 1_000, to: 1_200, kind: DisturbanceKind.Paused }] }), [])
  assert.deepEqual(check(requests, contacts([600, 700, 2_900]), { cut: [{ from: 100, to: 300 }] }), [])
})
