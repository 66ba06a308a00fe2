// The claim of one non-idempotent request with an idempotency key. Only the attempt that a `Claimed`
// row names may send. An expired lease is marked `Abandoned` and never taken over, so that at-most-once
// execution does not depend on a clock. A write is treated as outstanding until its result is definite:
// the group commit repeats a transaction whose response was lost, and an attempt that gave up in the
// meantime releases the row when its claim turns out to have taken effect.
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { StoreOutageRule } from '@siskinbeam/schema/bundle'
import { ClaimCommandKind, ClaimEventKind, ClaimWriteKind, WriteResultKind, type ClaimCommand, type ClaimEvent, type WriteResult } from './claimMessages.js'
import { ClaimRowState, decodeClaimRow, storeAnswer, type ClaimRow, type StoredRow } from './claimRow.js'
import { ClaimPhase, clockErrorMilliseconds, longestPollMilliseconds, maximumStoredBodyBytes, shortestPollMilliseconds, type ClaimState, type FinalWrite } from './claimState.js'
import { decideOutcome, mayClaimReleased } from './decideOutcome.js'

const retryAfterMilliseconds = 1_000

export interface StepClaimOptions {
  state: ClaimState
  event: ClaimEvent
  /** Monotonic milliseconds. */
  now: number
}

/** Advances a claim by one event and gives what is to be done, in order. */
export function stepClaim ({ state, event, now }: StepClaimOptions): ClaimCommand[] {
  if (state.phase === ClaimPhase.Done) return []
  const handle = eventHandlers[event.kind] as Handler<ClaimEvent>
  return handle(state, event, now)
}

type Handler<Event> = (state: ClaimState, event: Event, now: number) => ClaimCommand[]
type EventHandlers = { [Kind in ClaimEventKind]: Handler<Extract<ClaimEvent, { kind: Kind }>> }

const eventHandlers: EventHandlers = {
  [ClaimEventKind.Start]: (state, _event, now) => {
    if (now >= state.options.sendBy) return [...answer(state, ResultCode.DeadlineExceededBeforeSend), ...end(state)]
    // A repeated request probably has a row. A read costs less than a transaction that fails for it.
    return (state.options.guestAttempt ?? 1) > 1 ? read(state, now) : claim(state, now)
  },
  [ClaimEventKind.WriteDone]: (state, { writeId, result }, now) => {
    if (state.outstanding?.writeId !== writeId) return []
    const { kind } = state.outstanding
    delete state.outstanding
    if (result.kind === WriteResultKind.Held) state.version = result.version
    if (kind === ClaimWriteKind.Claim && result.kind === WriteResultKind.Held) state.held = true
    return writePhases[state.phase]?.(state, result, now, kind) ?? []
  },
  [ClaimEventKind.RowRead]: (state, { row, tableTimeMilliseconds }, now) =>
    state.phase === ClaimPhase.Reading ? decideByRow(state, row, tableTimeMilliseconds, now) : [],
  [ClaimEventKind.ReadFailed]: (state, _event, now) => {
    if (state.phase !== ClaimPhase.Reading) return []
    // `storeAnswerBy` stays, so that the outage rule counts from the first read without an answer.
    state.phase = ClaimPhase.Polling
    return [wakeAt(state, Math.min(now + nextPollMilliseconds(state), state.storeAnswerBy))]
  },
  [ClaimEventKind.Wake]: (state, _event, now) => wakePhases[state.phase]?.(state, now) ?? [],
  [ClaimEventKind.SendStarted]: (state, _event, now) => {
    checkInvariant({
      invariant: Invariant.RunAtMostOnce,
      holds: state.phase === ClaimPhase.Holding && now < state.options.sendBy,
      detail: () => `${state.key} sent by ${state.attempt} in phase ${state.phase}`
    })
    state.phase = ClaimPhase.Sent
    return []
  },
  [ClaimEventKind.NotStarted]: (state, _event, now) => {
    if (state.phase !== ClaimPhase.Sent) return []
    state.phase = ClaimPhase.Holding
    // Without its guest the request is not sent again.
    if (state.answered) return giveUp(state, ResultCode.GuestCancelled, now)
    return now < state.options.sendBy ? [{ kind: ClaimCommandKind.Send }] : giveUp(state, ResultCode.DeadlineExceededBeforeSend, now)
  },
  [ClaimEventKind.ServerAnswered]: (state, { status, headers, body }, now) => {
    const late = state.phase === ClaimPhase.Finishing && state.final?.kind === ClaimWriteKind.Abandon
    if (state.phase !== ClaimPhase.Sent && !late) return []
    state.answered = true
    return finish(state, { kind: ClaimWriteKind.Settle, answer: storeAnswer({ status, headers, body }, maximumStoredBodyBytes) }, now)
  },
  [ClaimEventKind.SendFailed]: (state, { code }, now) => {
    if (state.phase !== ClaimPhase.Sent) return []
    return [...answer(state, code, Outcome.Unknown), ...finish(state, { kind: ClaimWriteKind.Abandon }, now)]
  },
  [ClaimEventKind.GiveUp]: (state, { code }, now) => giveUp(state, code, now),
  [ClaimEventKind.GuestLeft]: (state, _event, now) => {
    state.answered = true
    return giveUp(state, ResultCode.GuestCancelled, now)
  }
}

// Results of writes by phase. A phase that is absent has no write outstanding.
type WritePhaseHandler = (state: ClaimState, result: WriteResult, now: number, kind: ClaimWriteKind) => ClaimCommand[]
const writePhases: Partial<Record<ClaimPhase, WritePhaseHandler>> = {
  [ClaimPhase.Claiming]: (state, result, now) => {
    if (result.kind === WriteResultKind.ConditionFailed) return decideByRow(state, result.row, result.tableTimeMilliseconds, now)
    if (result.kind !== WriteResultKind.Held) return [...answer(state, ResultCode.StoreUnavailable), ...end(state)]
    state.phase = ClaimPhase.Holding
    if (now >= state.options.sendBy) return giveUp(state, ResultCode.DeadlineExceededBeforeSend, now)
    return [{ kind: ClaimCommandKind.Send }, { kind: ClaimCommandKind.WakeAt, at: state.options.sendBy }]
  },
  [ClaimPhase.Abandoning]: (state, result, now) => result.kind === WriteResultKind.ConditionFailed
    ? decideByRow(state, result.row, result.tableTimeMilliseconds, now)
    : [...answer(state, ResultCode.ClaimAbandoned, Outcome.Unknown), ...end(state)],
  [ClaimPhase.Finishing]: (state, result, now, kind) => {
    const repeat = (): ClaimCommand[] => writeFinal(state, now)
    if (kind === ClaimWriteKind.Abandon && state.final === undefined) return end(state)
    if (result.kind === WriteResultKind.Held) return kind === state.final?.kind ? end(state) : repeat()
    if (result.kind === WriteResultKind.ConditionFailed) return state.held && stillWritable(state, result.row) ? repeat() : end(state)
    // Nothing was written. A claim ends here; the last write of a claim is repeated until it holds.
    if (kind === ClaimWriteKind.Claim) return end(state)
    return [{ kind: ClaimCommandKind.WakeAt, at: now + nextPollMilliseconds(state) }]
  }
}

const wakePhases: Partial<Record<ClaimPhase, (state: ClaimState, now: number) => ClaimCommand[]>> = {
  [ClaimPhase.Claiming]: applyOutageRule,
  [ClaimPhase.Reading]: applyOutageRule,
  [ClaimPhase.Abandoning]: applyOutageRule,
  [ClaimPhase.Polling]: (state, now) => {
    if (now >= Math.min(state.options.sendBy, state.storeAnswerBy)) return applyOutageRule(state, now)
    return read(state, now)
  },
  [ClaimPhase.Holding]: (state, now) => now < state.options.sendBy
    ? [{ kind: ClaimCommandKind.WakeAt, at: state.options.sendBy }]
    : giveUp(state, ResultCode.DeadlineExceededBeforeSend, now),
  [ClaimPhase.Finishing]: (state, now) => state.outstanding === undefined ? writeFinal(state, now) : []
}

// What follows from a row, by its state. The fingerprint was compared before.
const rowHandlers: Record<ClaimRowState, (state: ClaimState, row: ClaimRow, version: number, tableTime: number, now: number) => ClaimCommand[]> = {
  [ClaimRowState.Claimed]: (state, row, version, tableTime, now) => {
    if (row.leaseUntil < tableTime) return abandonOther(state, row, version, now)
    state.phase = ClaimPhase.Polling
    return [wakeAt(state, now + nextPollMilliseconds(state))]
  },
  [ClaimRowState.Released]: (state, row, version, _tableTime, now) => {
    if (!mayClaimReleased(state, row.guestAttempt)) return [...answer(state, ResultCode.ClaimLost, Outcome.Unknown), ...end(state)]
    state.version = version
    state.releasedAttempt = row.guestAttempt
    return now < state.options.sendBy
      ? claim(state, now)
      : [...answer(state, ResultCode.DeadlineExceededBeforeSend), ...end(state)]
  },
  [ClaimRowState.Settled]: (state, { answer: stored }) => {
    if (stored === undefined || stored.body === null) return [...answer(state, ResultCode.AnswerNotKept, Outcome.Run), ...end(state)]
    return [...replay(state, { kind: ClaimCommandKind.Replay, answer: stored }), ...end(state)]
  },
  [ClaimRowState.Abandoned]: state => [...answer(state, ResultCode.ClaimAbandoned, Outcome.Unknown), ...end(state)]
}

function decideByRow (state: ClaimState, stored: StoredRow | null, tableTime: number, now: number): ClaimCommand[] {
  state.storeAnswerBy = Infinity
  if (stored === null) {
    state.version = null
    state.releasedAttempt = 0
    return now < state.options.sendBy ? claim(state, now) : [...answer(state, ResultCode.DeadlineExceededBeforeSend), ...end(state)]
  }
  state.foreignRowSeen = true
  const row = decodeClaimRow(stored.value)
  // A row that cannot be read is left as it is: another version of the program may know its meaning.
  if (row === undefined) return [...answer(state, ResultCode.ClaimAbandoned, Outcome.Unknown), ...end(state)]
  // The key stays with the first fingerprint while the row lives, so this request cannot have run.
  if (row.fingerprint !== state.options.fingerprint) return [...answer(state, ResultCode.IdempotencyKeyReused, Outcome.NotRun), ...end(state)]
  return rowHandlers[row.state](state, row, stored.version, tableTime, now)
}

function claim (state: ClaimState, now: number): ClaimCommand[] {
  state.phase = ClaimPhase.Claiming
  return [write(state, ClaimWriteKind.Claim, ownRow(state, ClaimRowState.Claimed), now), startStoreTimer(state, now)]
}

function abandonOther (state: ClaimState, row: ClaimRow, version: number, now: number): ClaimCommand[] {
  state.phase = ClaimPhase.Abandoning
  state.version = version
  return [write(state, ClaimWriteKind.Abandon, { ...row, state: ClaimRowState.Abandoned }, now), startStoreTimer(state, now)]
}

function read (state: ClaimState, now: number): ClaimCommand[] {
  state.phase = ClaimPhase.Reading
  const timer = state.storeAnswerBy === Infinity ? startStoreTimer(state, now) : wakeAt(state, state.storeAnswerBy)
  return [{ kind: ClaimCommandKind.Read, key: state.key }, timer]
}

function applyOutageRule (state: ClaimState, now: number): ClaimCommand[] {
  const { sendBy } = state.options
  if (now < Math.min(sendBy, state.storeAnswerBy)) return [wakeAt(state, state.storeAnswerBy)]
  const storeSilent = now >= state.storeAnswerBy
  const code = storeSilent ? ResultCode.StoreUnavailable : ResultCode.ClaimInProgress
  if (state.phase === ClaimPhase.Claiming) return giveUp(state, code, now)
  const reply = answer(state, state.phase === ClaimPhase.Abandoning ? ResultCode.ClaimAbandoned : code, Outcome.Unknown)
  return [...reply, ...leaveOutstanding(state)]
}

/** Ends an attempt that did not run the request and will not. */
function giveUp (state: ClaimState, code: ResultCode, now: number): ClaimCommand[] {
  if (state.phase === ClaimPhase.Sent || state.phase === ClaimPhase.Finishing) return []
  const reply = answer(state, code)
  if (state.phase === ClaimPhase.Holding) return [...reply, ...finish(state, { kind: ClaimWriteKind.Release }, now)]
  if (state.phase === ClaimPhase.Claiming && state.outstanding !== undefined) {
    const { writeId } = state.outstanding
    return [...reply, ...finish(state, { kind: ClaimWriteKind.Release }, now), { kind: ClaimCommandKind.Withdraw, writeId }]
  }
  return [...reply, ...leaveOutstanding(state)]
}

function leaveOutstanding (state: ClaimState): ClaimCommand[] {
  if (state.outstanding === undefined) return end(state)
  state.phase = ClaimPhase.Finishing
  return [{ kind: ClaimCommandKind.Withdraw, writeId: state.outstanding.writeId }]
}

function finish (state: ClaimState, final: FinalWrite, now: number): ClaimCommand[] {
  state.phase = ClaimPhase.Finishing
  state.final = final
  state.pollMilliseconds = shortestPollMilliseconds
  return state.outstanding === undefined ? writeFinal(state, now) : []
}

const finalRowStates: Record<FinalWrite['kind'], ClaimRowState> = {
  [ClaimWriteKind.Release]: ClaimRowState.Released,
  [ClaimWriteKind.Settle]: ClaimRowState.Settled,
  [ClaimWriteKind.Abandon]: ClaimRowState.Abandoned
}

function writeFinal (state: ClaimState, now: number): ClaimCommand[] {
  const { final } = state
  if (final === undefined) return end(state)
  const row = ownRow(state, finalRowStates[final.kind])
  if (final.answer !== undefined) row.answer = final.answer
  return [write(state, final.kind, row, now)]
}

/** The holder may still write while the row names its attempt, or when the row expired before a settlement. */
function stillWritable (state: ClaimState, stored: StoredRow | null): boolean {
  if (stored === null) {
    state.version = null
    return state.final?.kind === ClaimWriteKind.Settle
  }
  const row = decodeClaimRow(stored.value)
  state.version = stored.version
  return row !== undefined && row.attempt === state.attempt &&
    (row.state === ClaimRowState.Claimed || row.state === ClaimRowState.Abandoned)
}

function ownRow (state: ClaimState, rowState: ClaimRowState): ClaimRow {
  const { fingerprint, guestAttempt = 0, sendBy, tableTimeOffsetMilliseconds } = state.options
  return {
    state: rowState,
    attempt: state.attempt,
    fingerprint,
    leaseUntil: sendBy + tableTimeOffsetMilliseconds + clockErrorMilliseconds,
    guestAttempt: rowState === ClaimRowState.Released ? Math.max(state.releasedAttempt, guestAttempt) : state.releasedAttempt
  }
}

function write (state: ClaimState, kind: ClaimWriteKind, row: ClaimRow, now: number): ClaimCommand {
  state.writes += 1
  const writeId = `${state.attempt}#${state.writes}`
  state.outstanding = { writeId, kind }
  const expiresAtMilliseconds = now + state.options.tableTimeOffsetMilliseconds + state.options.recordLifetimeMilliseconds
  return {
    kind: ClaimCommandKind.Write,
    write: { writeId, kind, attempt: state.attempt, key: state.key, row, expectedVersion: state.version, expiresAtMilliseconds }
  }
}

function startStoreTimer (state: ClaimState, now: number): ClaimCommand {
  const { storeOutage, tableAnswerMilliseconds, sendBy } = state.options
  state.storeAnswerBy = storeOutage === StoreOutageRule.Hold ? sendBy : Math.min(now + tableAnswerMilliseconds, sendBy)
  return wakeAt(state, state.storeAnswerBy)
}

function nextPollMilliseconds (state: ClaimState): number {
  const milliseconds = state.pollMilliseconds
  state.pollMilliseconds = Math.min(2 * milliseconds, longestPollMilliseconds)
  return milliseconds
}

function wakeAt (state: ClaimState, at: number): ClaimCommand {
  return { kind: ClaimCommandKind.WakeAt, at: Math.min(at, state.options.sendBy) }
}

const codesWithRetryAfter = new Set([ResultCode.StoreUnavailable, ResultCode.ClaimInProgress, ResultCode.NoServer, ResultCode.ServersRefused])

function answer (state: ClaimState, code: ResultCode, outcome: Outcome = decideOutcome(state)): ClaimCommand[] {
  return replay(state, { kind: ClaimCommandKind.Answer, code, outcome, ...(codesWithRetryAfter.has(code) ? { retryAfterMilliseconds } : {}) })
}

function replay (state: ClaimState, command: ClaimCommand): ClaimCommand[] {
  if (state.answered) return []
  state.answered = true
  return [command]
}

function end (state: ClaimState): ClaimCommand[] {
  state.phase = ClaimPhase.Done
  return [{ kind: ClaimCommandKind.Done }]
}
