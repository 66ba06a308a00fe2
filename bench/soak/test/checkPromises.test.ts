// Guards the checks of the soak: against a broken promise that they do not see, and against blame for what
// a fault allows.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunEvent, type RunLine } from '@siskinbeam/stand-in-platform-server/runLine'
import { BrokenPromise, checkPromises } from '../src/checkPromises.js'
import { DisturbanceKind, type Disturbance } from '../src/disturbance.js'
import type { SeenRequest } from '../src/driveGuests.js'

const answered: SeenRequest = { id: 'r', unsafe: true, host: 'host-0', sentAt: 10_000, endedAt: 10_100, status: 200, isOwnAnswer: true, reused: false, hasAnswerBytes: true }
const lost: SeenRequest = { ...answered, status: 0, isOwnAnswer: false, hasAnswerBytes: false }
const run: RunLine = { at: 10_010, event: RunEvent.Begins, server: 'i-1', request: 'r', unsafe: true }
const check = (seen: SeenRequest, runs: RunLine[], disturbances: Disturbance[] = []): BrokenPromise[] =>
  checkPromises({ seen: [seen], runs, disturbancesOf: () => disturbances, latestAnswerMilliseconds: 2_500 }).map(({ promise }) => promise)

test('a whole answer after one run breaks no promise', () => {
  assert.deepEqual(check(answered, [run, { ...run, event: RunEvent.Ends }]), [])
})

test('a second run is seen if the request may run once, and allowed if it may be repeated', () => {
  assert.deepEqual(check(answered, [run, { ...run, server: 'i-2' }]), [BrokenPromise.RanTwice])
  assert.deepEqual(check(answered, [{ ...run, unsafe: false }, { ...run, unsafe: false, server: 'i-2' }]), [])
})

test('a status that says "not run" is false if the request ran', () => {
  assert.deepEqual([408, 421, 429, 503].map(status => check({ ...answered, status, isOwnAnswer: false }, [run])), Array.from({ length: 4 }, () => [BrokenPromise.RefusedButRan]))
  assert.deepEqual(check({ ...answered, status: 502, isOwnAnswer: false }, [run]), [])
  assert.deepEqual(check({ ...answered, status: 503, isOwnAnswer: false }, []), [])
})

test('a success that is not the own whole answer is seen', () => {
  assert.deepEqual(check({ ...answered, isOwnAnswer: false }, [run]), [BrokenPromise.WrongAnswer])
})

test('a connection without an answer is blamed on the host unless it was killed or paused', () => {
  const disturbed = (kind: DisturbanceKind): Disturbance[] => [{ from: 10_050, to: 10_400, kind }]
  assert.deepEqual(check(lost, [run]), [BrokenPromise.Lost])
  assert.deepEqual(check(lost, []), [BrokenPromise.Lost])
  assert.deepEqual(check(lost, [run], disturbed(DisturbanceKind.Killed)), [])
  assert.deepEqual(check(lost, [run], disturbed(DisturbanceKind.Paused)), [])
  assert.deepEqual(check(lost, [run], [{ from: 1_000, to: 2_000, kind: DisturbanceKind.Killed }]), [BrokenPromise.Lost])
})

test('a host that was told to stop answers what it passed on, and may close what it did not read', () => {
  const stopped: Disturbance[] = [{ from: 9_900, to: 12_000, kind: DisturbanceKind.Stopped }]
  assert.deepEqual(check(lost, [run], stopped), [BrokenPromise.Lost])
  assert.deepEqual(check(lost, [], stopped), [])
  assert.deepEqual(check({ ...lost, hasAnswerBytes: true }, [], stopped), [BrokenPromise.Lost])
  assert.deepEqual(check({ ...lost, reused: true }, []), [])
})

test('an answer after the time limit is late unless the host was disturbed shortly before', () => {
  const late = { ...answered, endedAt: 12_501 }
  assert.deepEqual(check(late, [run]), [BrokenPromise.Late])
  assert.deepEqual(check(late, [run], [{ from: 8_000, to: 8_500, kind: DisturbanceKind.Paused }]), [])
})
