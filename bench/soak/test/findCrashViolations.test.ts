// Guards the check of crashing requests against missed violations, and against counting what the users excuse.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunEvent, type RunLogEntry } from '@siskinbeam/stand-in-platform-server/runLogEntry'
import { DisturbanceKind } from '../src/disturbance.js'
import { findCrashViolations } from '../src/findCrashViolations.js'
import { ViolationKind } from '../src/findViolations.js'

const check = (times: number[], { disturbedUntil = -Infinity, storeDisturbedUntil = -Infinity } = {}): ViolationKind[] => findCrashViolations({
  copies: times.map((at, index) => ({ id: `c-${index}`, unsafe: true, host: 'host-0', sentAt: at, endedAt: at, status: 502, isExpectedResponse: false, reused: false, hasResponseBytes: true, limitedServer: undefined, content: '/crash' })),
  runs: times.map((at, index): RunLogEntry => ({ at, event: RunEvent.Started, server: `i-${index}`, request: `c-${index}`, unsafe: true })),
  disturbancesOf: () => [{ from: 0, to: disturbedUntil, kind: DisturbanceKind.Killed }],
  storeDisturbances: [{ from: 0, to: storeDisturbedUntil }]
}).map(({ kind }) => kind)

test('more than three retries later than three seconds after the third crash are a violation', () => {
  assert.deepEqual(check([0, 300, 600, 3_700, 3_800, 3_900]), [])
  assert.deepEqual(check([0, 300, 600, 3_700, 3_800, 3_900, 4_000]), [ViolationKind.CrashedServers])
  assert.deepEqual(check([0, 300, 600, 3_500, 3_550, 3_590, 3_600]), [])
})

test('retries shortly after a disturbance of their host or the store do not count', () => {
  const times = [0, 300, 600, 3_700, 3_800, 3_900, 4_000]
  assert.deepEqual([check(times, { disturbedUntil: 1_000 }), check(times, { storeDisturbedUntil: 1_000 })], [[], []])
  assert.deepEqual([check(times, { disturbedUntil: 600 }), check(times, { storeDisturbedUntil: 600 })], [[ViolationKind.CrashedServers], [ViolationKind.CrashedServers]])
})
