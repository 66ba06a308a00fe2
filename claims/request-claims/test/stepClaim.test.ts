// Guards against a claim that polls too often or reports a wrong outcome, in cases whose timing the
// simulation in claims/group-commit does not check.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { StoreOutagePolicy } from '@siskinbeam/schema/bundle'
import { ClaimCommandKind, ClaimEventKind, ClaimWriteKind, WriteResultKind, type ClaimCommand, type ClaimEvent, type WriteResult } from '../src/claimMessages.js'
import { ClaimRowState, decodeClaimRow, encodeClaimRow, type ClaimRow } from '../src/claimRow.js'
import { ClaimPhase, createClaimState, maySend } from '../src/claimState.js'
import { stepClaim } from '../src/stepClaim.js'

const start = (options = {}) => {
  const attempt = { host: 'entry-1', boot: 'boot-1', sequence: 1 }
  const times = { sendBy: 2_000, tableTimeOffsetMilliseconds: 1_000_000, recordLifetimeMilliseconds: 86_400_000 }
  const state = createClaimState({ service: 'desk', idempotencyKey: 'booking', attempt, fingerprint: 'own', ...times, ...options })
  const step = (now: number, event: ClaimEvent): ClaimCommand[] => stepClaim({ state, event, now })
  const writeDone = (now: number, result: WriteResult): ClaimCommand[] =>
    step(now, { kind: ClaimEventKind.WriteDone, writeId: state.outstandingWrite?.writeId ?? '', result })
  return { state, step, writeDone, wake: (now: number) => step(now, { kind: ClaimEventKind.Wake }), begin: () => step(0, { kind: ClaimEventKind.Start }) }
}
const otherRow = (changes: Partial<ClaimRow> = {}): ClaimRow =>
  ({ state: ClaimRowState.Claimed, attempt: 'entry-2/boot-1/9', fingerprint: 'own', leaseUntil: 1_009_000, guestAttempt: 0, ...changes })
const failed = (row: ClaimRow, now = 0): WriteResult =>
  ({ kind: WriteResultKind.ConditionFailed, row: { value: encodeClaimRow(row), version: 5 }, tableTimeMilliseconds: 1_000_000 + now })
const responseOf = (commands: ClaimCommand[]): unknown[] => commands.flatMap(command => command.kind === ClaimCommandKind.Respond ? [command.code, command.outcome] : [])
const wakeOf = (commands: ClaimCommand[]): number => commands.flatMap(command => command.kind === ClaimCommandKind.WakeAt ? [command.at] : []).at(-1) ?? NaN
const kindsOf = (commands: ClaimCommand[]): string[] => commands.map(command => command.kind === ClaimCommandKind.Write ? command.write.kind : command.kind)

const outages: Array<[string, object, number, Outcome]> = [
  ['refuse, first attempt declared', { guestAttempt: 1 }, 300, Outcome.NotRun],
  ['refuse, attempt not declared', {}, 300, Outcome.Unknown],
  ['refuse, a later attempt', { guestAttempt: 2 }, 300, Outcome.Unknown],
  ['hold', { guestAttempt: 1, storeOutage: StoreOutagePolicy.Hold }, 2_000, Outcome.NotRun]
]
outages.forEach(([title, options, milliseconds, outcome]) => test(`during a store outage (policy ${title}) the guest receives the outcome ${outcome} after ${milliseconds} ms`, () => {
  const claim = start(options)
  assert.equal(wakeOf(claim.begin()), milliseconds)
  assert.deepEqual(responseOf(claim.wake(milliseconds - 1)), [])
  assert.deepEqual(responseOf(claim.wake(milliseconds)), [ResultCode.StoreUnavailable, outcome])
}))

test('a claim that takes effect after its attempt aborted is released, and the release is retried', () => {
  const claim = start({ guestAttempt: 1 })
  claim.begin()
  assert.deepEqual(kindsOf(claim.wake(300)), [ClaimCommandKind.Respond, ClaimCommandKind.Withdraw])
  assert.deepEqual(kindsOf(claim.writeDone(900, { kind: WriteResultKind.Held, version: 3 })), [ClaimWriteKind.Release])
  assert.equal(wakeOf(claim.writeDone(901, { kind: WriteResultKind.Refused })), 951)
  assert.deepEqual(kindsOf(claim.wake(951)), [ClaimWriteKind.Release])
  assert.deepEqual(kindsOf(claim.writeDone(960, { kind: WriteResultKind.Held, version: 4 })), [ClaimCommandKind.Done])
  assert.equal(maySend({ state: claim.state, now: 0 }), false)
})

test('a duplicate polls after 50 ms, doubling to 800 ms, until its deadline', () => {
  const claim = start({ sendBy: 4_000 })
  claim.begin()
  let now = 0
  let commands = claim.writeDone(now, failed(otherRow()))
  const pauses: number[] = []
  while (responseOf(commands).length === 0) {
    pauses.push(wakeOf(commands) - now)
    now = wakeOf(commands)
    commands = claim.wake(now)
    if (claim.state.phase === ClaimPhase.Reading) commands = claim.step(now, { kind: ClaimEventKind.RowRead, row: { value: otherRow(), version: 5 }, tableTimeMilliseconds: 1_000_000 })
  }
  assert.deepEqual(pauses, [50, 100, 200, 400, 800, 800, 800, 800, 50])
  assert.deepEqual(responseOf(commands), [ResultCode.ClaimInProgress, Outcome.Unknown])
})

const rows: Array<[string, ClaimRow, object, unknown[]]> = [
  ['another fingerprint', otherRow({ fingerprint: 'other', state: ClaimRowState.Settled, answer: { status: 200, headers: {}, body: '' } }), {}, [ResultCode.IdempotencyKeyReused, Outcome.NotRun]],
  ['a response that was too large to store', otherRow({ state: ClaimRowState.Settled, answer: { status: 200, headers: {}, body: null } }), {}, [ResultCode.AnswerNotKept, Outcome.Run]],
  ['an abandoned claim', otherRow({ state: ClaimRowState.Abandoned }), { guestAttempt: 1 }, [ResultCode.ClaimAbandoned, Outcome.Unknown]],
  ['a release by a later attempt of the guest', otherRow({ state: ClaimRowState.Released, guestAttempt: 2 }), { guestAttempt: 1 }, [ResultCode.ClaimLost, Outcome.Unknown]],
  ['an invalid state', otherRow({ state: 'unsupported' as ClaimRowState }), {}, [ResultCode.ClaimAbandoned, Outcome.Unknown]]
]
rows.forEach(([title, row, options, expected]) => test(`a stored row with ${title} ends the claim with ${ResultCode[expected[0] as ResultCode]} ${expected[1] as Outcome}`, () => {
  const claim = start(options)
  claim.begin()
  assert.deepEqual(responseOf(claim.writeDone(1, failed(row))), expected)
  assert.equal(claim.state.phase, ClaimPhase.Done)
}))

test('a body over 16 KiB is not stored, and a row is decoded as it was encoded', () => {
  const storedBody = (bytes: number): unknown => {
    const claim = start()
    claim.begin()
    claim.writeDone(1, { kind: WriteResultKind.Held, version: 1 })
    claim.step(2, { kind: ClaimEventKind.SendStarted })
    const [command] = claim.step(3, { kind: ClaimEventKind.ServerResponded, status: 201, headers: { 'set-cookie': ['a', 'b'] }, body: new Uint8Array(bytes) })
    assert.ok(command?.kind === ClaimCommandKind.Write)
    assert.deepEqual(decodeClaimRow(JSON.parse(JSON.stringify(encodeClaimRow(command.write.row)))), command.write.row)
    return command.write.row.answer?.body
  }
  assert.equal(storedBody(16_384), Buffer.alloc(16_384).toString('base64'))
  assert.equal(storedBody(16_385), null)
})
