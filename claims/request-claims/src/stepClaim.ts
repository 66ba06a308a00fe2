// State machine for the claim of one non-idempotent request with an idempotency key. Only the attempt
// named in a `Claimed` row may send the request. A claim with an expired lease is marked `Abandoned` and
// never taken over, so that at-most-once execution does not depend on clocks. A write is outstanding
// until its result is definite: the group commit resends a transaction whose response was lost, and an
// attempt that aborted in the meantime releases the row if its claim turns out to have been applied.
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { StoreOutagePolicy } from '@siskinbeam/schema/bundle'
import { ClaimCommandKind, ClaimEventKind, ClaimWriteKind, WriteResultKind, type ClaimCommand, type ClaimEvent, type WriteResult } from './claimMessages.js'
import { ClaimRowState, decodeClaimRow, toStoredResponse, type ClaimRow, type StoredRow } from './claimRow.js'
import { ClaimPhase, clockErrorMilliseconds, maximumPollMilliseconds, maximumStoredBodyBytes, initialPollMilliseconds, type ClaimState, type FinalWrite } from './claimState.js'
import { decideOutcome, mayClaimReleased } from './decideOutcome.js'

const retryAfterMilliseconds = 1_000

export interface StepClaimOptions {
  state: ClaimState
  event: ClaimEvent
  /** Monotonic milliseconds. */
  now: number
}

/** Applies one event to a claim and returns the commands to execute, in order. */
export function stepClaim ({ state, event, now }: StepClaimOptions): ClaimCommand[] {
  if (state.phase === ClaimPhase.Done) return []
  const handle = eventHandlers[event.kind] as Handler<ClaimEvent>
  return handle(state, event, now)
}

type Handler<Event> = (state: ClaimState, event: Event, now: number) => ClaimCommand[]
type EventHandlers = { [Kind in ClaimEventKind]: Handler<Extract<ClaimEvent, { kind: Kind }>> }

const eventHandlers: EventHandlers = {
  [ClaimEventKind.Start]: (state, _event, now) => {
    if (now >= state.options.sendBy) return [...respond(state, ResultCode.DeadlineExceededBeforeSend), ...endClaim(state)]
    // A retried request probably has a row, and a read costs less than a transaction that fails because of it.
    return (state.options.guestAttempt ?? 1) > 1 ? startRead(state, now) : startClaimWrite(state, now)
  },
  [ClaimEventKind.WriteDone]: (state, { writeId, result }, now) => {
    if (state.outstandingWrite?.writeId !== writeId) return []
    const { kind } = state.outstandingWrite
    delete state.outstandingWrite
    if (result.kind === WriteResultKind.Held) state.version = result.version
    if (kind === ClaimWriteKind.Claim && result.kind === WriteResultKind.Held) state.held = true
    return writeResultHandlers[state.phase]?.(state, result, now, kind) ?? []
  },
  [ClaimEventKind.RowRead]: (state, { row, tableTimeMilliseconds }, now) =>
    state.phase === ClaimPhase.Reading ? handleStoredRow(state, row, tableTimeMilliseconds, now) : [],
  [ClaimEventKind.ReadFailed]: (state, _event, now) => {
    if (state.phase !== ClaimPhase.Reading) return []
    // `storeTimeoutAt` is kept, so that the timeout of the outage policy counts from the first unanswered read.
    state.phase = ClaimPhase.Polling
    return [wakeAt(state, Math.min(now + nextPollMilliseconds(state), state.storeTimeoutAt))]
  },
  [ClaimEventKind.Wake]: (state, _event, now) => wakeHandlers[state.phase]?.(state, now) ?? [],
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
    // The guest has disconnected, so the request is not sent again.
    if (state.answered) return abortClaim(state, ResultCode.GuestCancelled, now)
    return now < state.options.sendBy ? [{ kind: ClaimCommandKind.Send }] : abortClaim(state, ResultCode.DeadlineExceededBeforeSend, now)
  },
  [ClaimEventKind.ServerResponded]: (state, { status, headers, body }, now) => {
    const isLateResponse = state.phase === ClaimPhase.Finishing && state.finalWrite?.kind === ClaimWriteKind.Abandon
    if (state.phase !== ClaimPhase.Sent && !isLateResponse) return []
    state.answered = true
    return startFinalWrite(state, { kind: ClaimWriteKind.Settle, answer: toStoredResponse({ status, headers, body }, maximumStoredBodyBytes) }, now)
  },
  [ClaimEventKind.SendFailed]: (state, { code }, now) => {
    if (state.phase !== ClaimPhase.Sent) return []
    return [...respond(state, code, Outcome.Unknown), ...startFinalWrite(state, { kind: ClaimWriteKind.Abandon }, now)]
  },
  [ClaimEventKind.GiveUp]: (state, { code }, now) => abortClaim(state, code, now),
  [ClaimEventKind.GuestDisconnected]: (state, _event, now) => {
    state.answered = true
    return abortClaim(state, ResultCode.GuestCancelled, now)
  }
}

// Handlers of write results by phase. Phases that are absent have no outstanding write.
type WriteResultHandler = (state: ClaimState, result: WriteResult, now: number, kind: ClaimWriteKind) => ClaimCommand[]
const writeResultHandlers: Partial<Record<ClaimPhase, WriteResultHandler>> = {
  [ClaimPhase.Claiming]: (state, result, now) => {
    if (result.kind === WriteResultKind.ConditionFailed) return handleStoredRow(state, result.row, result.tableTimeMilliseconds, now)
    if (result.kind !== WriteResultKind.Held) return [...respond(state, ResultCode.StoreUnavailable), ...endClaim(state)]
    state.phase = ClaimPhase.Holding
    if (now >= state.options.sendBy) return abortClaim(state, ResultCode.DeadlineExceededBeforeSend, now)
    return [{ kind: ClaimCommandKind.Send }, { kind: ClaimCommandKind.WakeAt, at: state.options.sendBy }]
  },
  [ClaimPhase.Abandoning]: (state, result, now) => result.kind === WriteResultKind.ConditionFailed
    ? handleStoredRow(state, result.row, result.tableTimeMilliseconds, now)
    : [...respond(state, ResultCode.ClaimAbandoned, Outcome.Unknown), ...endClaim(state)],
  [ClaimPhase.Finishing]: (state, result, now, kind) => {
    const retry = (): ClaimCommand[] => createFinalWrite(state, now)
    if (kind === ClaimWriteKind.Abandon && state.finalWrite === undefined) return endClaim(state)
    if (result.kind === WriteResultKind.Held) return kind === state.finalWrite?.kind ? endClaim(state) : retry()
    if (result.kind === WriteResultKind.ConditionFailed) return state.held && canStillWrite(state, result.row) ? retry() : endClaim(state)
    // Nothing was written. An unclaimed key needs no further write; a final write is retried until it is applied.
    if (kind === ClaimWriteKind.Claim) return endClaim(state)
    return [{ kind: ClaimCommandKind.WakeAt, at: now + nextPollMilliseconds(state) }]
  }
}

const wakeHandlers: Partial<Record<ClaimPhase, (state: ClaimState, now: number) => ClaimCommand[]>> = {
  [ClaimPhase.Claiming]: applyOutageRule,
  [ClaimPhase.Reading]: applyOutageRule,
  [ClaimPhase.Abandoning]: applyOutageRule,
  [ClaimPhase.Polling]: (state, now) => {
    if (now >= Math.min(state.options.sendBy, state.storeTimeoutAt)) return applyOutageRule(state, now)
    return startRead(state, now)
  },
  [ClaimPhase.Holding]: (state, now) => now < state.options.sendBy
    ? [{ kind: ClaimCommandKind.WakeAt, at: state.options.sendBy }]
    : abortClaim(state, ResultCode.DeadlineExceededBeforeSend, now),
  [ClaimPhase.Finishing]: (state, now) => state.outstandingWrite === undefined ? createFinalWrite(state, now) : []
}

// Handlers of the row that was found, by row state. The fingerprint has already been compared.
const rowHandlers: Record<ClaimRowState, (state: ClaimState, row: ClaimRow, version: number, tableTime: number, now: number) => ClaimCommand[]> = {
  [ClaimRowState.Claimed]: (state, row, version, tableTime, now) => {
    if (row.leaseUntil < tableTime) return markExpiredClaim(state, row, version, now)
    state.phase = ClaimPhase.Polling
    return [wakeAt(state, now + nextPollMilliseconds(state))]
  },
  [ClaimRowState.Released]: (state, row, version, _tableTime, now) => {
    if (!mayClaimReleased(state, row.guestAttempt)) return [...respond(state, ResultCode.ClaimLost, Outcome.Unknown), ...endClaim(state)]
    state.version = version
    state.releasedAttempt = row.guestAttempt
    return now < state.options.sendBy
      ? startClaimWrite(state, now)
      : [...respond(state, ResultCode.DeadlineExceededBeforeSend), ...endClaim(state)]
  },
  [ClaimRowState.Settled]: (state, { answer: stored }) => {
    if (stored === undefined || stored.body === null) return [...respond(state, ResultCode.AnswerNotKept, Outcome.Run), ...endClaim(state)]
    return [...emitResponse(state, { kind: ClaimCommandKind.Replay, answer: stored }), ...endClaim(state)]
  },
  [ClaimRowState.Abandoned]: state => [...respond(state, ResultCode.ClaimAbandoned, Outcome.Unknown), ...endClaim(state)]
}

function handleStoredRow (state: ClaimState, stored: StoredRow | null, tableTime: number, now: number): ClaimCommand[] {
  state.storeTimeoutAt = Infinity
  if (stored === null) {
    state.version = null
    state.releasedAttempt = 0
    return now < state.options.sendBy ? startClaimWrite(state, now) : [...respond(state, ResultCode.DeadlineExceededBeforeSend), ...endClaim(state)]
  }
  state.otherAttemptSeen = true
  const row = decodeClaimRow(stored.value)
  // An invalid row is left unchanged, because another version of the program may be able to decode it.
  if (row === undefined) return [...respond(state, ResultCode.ClaimAbandoned, Outcome.Unknown), ...endClaim(state)]
  // The key belongs to the first fingerprint until the row expires, so this request cannot have run.
  if (row.fingerprint !== state.options.fingerprint) return [...respond(state, ResultCode.IdempotencyKeyReused, Outcome.NotRun), ...endClaim(state)]
  return rowHandlers[row.state](state, row, stored.version, tableTime, now)
}

function startClaimWrite (state: ClaimState, now: number): ClaimCommand[] {
  state.phase = ClaimPhase.Claiming
  return [createWrite(state, ClaimWriteKind.Claim, createOwnRow(state, ClaimRowState.Claimed), now), startStoreTimer(state, now)]
}

function markExpiredClaim (state: ClaimState, row: ClaimRow, version: number, now: number): ClaimCommand[] {
  state.phase = ClaimPhase.Abandoning
  state.version = version
  return [createWrite(state, ClaimWriteKind.Abandon, { ...row, state: ClaimRowState.Abandoned }, now), startStoreTimer(state, now)]
}

function startRead (state: ClaimState, now: number): ClaimCommand[] {
  state.phase = ClaimPhase.Reading
  const timer = state.storeTimeoutAt === Infinity ? startStoreTimer(state, now) : wakeAt(state, state.storeTimeoutAt)
  return [{ kind: ClaimCommandKind.Read, key: state.key }, timer]
}

function applyOutageRule (state: ClaimState, now: number): ClaimCommand[] {
  const { sendBy } = state.options
  if (now < Math.min(sendBy, state.storeTimeoutAt)) return [wakeAt(state, state.storeTimeoutAt)]
  const storeTimedOut = now >= state.storeTimeoutAt
  const code = storeTimedOut ? ResultCode.StoreUnavailable : ResultCode.ClaimInProgress
  if (state.phase === ClaimPhase.Claiming) return abortClaim(state, code, now)
  const reply = respond(state, state.phase === ClaimPhase.Abandoning ? ResultCode.ClaimAbandoned : code, Outcome.Unknown)
  return [...reply, ...withdrawOutstandingWrite(state)]
}

/** Ends an attempt that did not run the request and will not run it. */
function abortClaim (state: ClaimState, code: ResultCode, now: number): ClaimCommand[] {
  if (state.phase === ClaimPhase.Sent || state.phase === ClaimPhase.Finishing) return []
  const reply = respond(state, code)
  if (state.phase === ClaimPhase.Holding) return [...reply, ...startFinalWrite(state, { kind: ClaimWriteKind.Release }, now)]
  if (state.phase === ClaimPhase.Claiming && state.outstandingWrite !== undefined) {
    const { writeId } = state.outstandingWrite
    return [...reply, ...startFinalWrite(state, { kind: ClaimWriteKind.Release }, now), { kind: ClaimCommandKind.Withdraw, writeId }]
  }
  return [...reply, ...withdrawOutstandingWrite(state)]
}

function withdrawOutstandingWrite (state: ClaimState): ClaimCommand[] {
  if (state.outstandingWrite === undefined) return endClaim(state)
  state.phase = ClaimPhase.Finishing
  return [{ kind: ClaimCommandKind.Withdraw, writeId: state.outstandingWrite.writeId }]
}

function startFinalWrite (state: ClaimState, finalWrite: FinalWrite, now: number): ClaimCommand[] {
  state.phase = ClaimPhase.Finishing
  state.finalWrite = finalWrite
  state.pollMilliseconds = initialPollMilliseconds
  return state.outstandingWrite === undefined ? createFinalWrite(state, now) : []
}

const finalRowStates: Record<FinalWrite['kind'], ClaimRowState> = {
  [ClaimWriteKind.Release]: ClaimRowState.Released,
  [ClaimWriteKind.Settle]: ClaimRowState.Settled,
  [ClaimWriteKind.Abandon]: ClaimRowState.Abandoned
}

function createFinalWrite (state: ClaimState, now: number): ClaimCommand[] {
  const { finalWrite } = state
  if (finalWrite === undefined) return endClaim(state)
  const row = createOwnRow(state, finalRowStates[finalWrite.kind])
  if (finalWrite.answer !== undefined) row.answer = finalWrite.answer
  return [createWrite(state, finalWrite.kind, row, now)]
}

/** Whether this attempt may still write: the row names it, or the row expired before a settlement was written. */
function canStillWrite (state: ClaimState, stored: StoredRow | null): boolean {
  if (stored === null) {
    state.version = null
    return state.finalWrite?.kind === ClaimWriteKind.Settle
  }
  const row = decodeClaimRow(stored.value)
  state.version = stored.version
  return row !== undefined && row.attempt === state.attempt &&
    (row.state === ClaimRowState.Claimed || row.state === ClaimRowState.Abandoned)
}

function createOwnRow (state: ClaimState, rowState: ClaimRowState): ClaimRow {
  const { fingerprint, guestAttempt = 0, sendBy, tableTimeOffsetMilliseconds } = state.options
  return {
    state: rowState,
    attempt: state.attempt,
    fingerprint,
    leaseUntil: sendBy + tableTimeOffsetMilliseconds + clockErrorMilliseconds,
    guestAttempt: rowState === ClaimRowState.Released ? Math.max(state.releasedAttempt, guestAttempt) : state.releasedAttempt
  }
}

function createWrite (state: ClaimState, kind: ClaimWriteKind, row: ClaimRow, now: number): ClaimCommand {
  state.writes += 1
  const writeId = `${state.attempt}#${state.writes}`
  state.outstandingWrite = { writeId, kind }
  const expiresAtMilliseconds = now + state.options.tableTimeOffsetMilliseconds + state.options.recordLifetimeMilliseconds
  return {
    kind: ClaimCommandKind.Write,
    write: { writeId, kind, attempt: state.attempt, key: state.key, row, expectedVersion: state.version, expiresAtMilliseconds }
  }
}

function startStoreTimer (state: ClaimState, now: number): ClaimCommand {
  const { storeOutage, tableAnswerMilliseconds, sendBy } = state.options
  state.storeTimeoutAt = storeOutage === StoreOutagePolicy.Hold ? sendBy : Math.min(now + tableAnswerMilliseconds, sendBy)
  return wakeAt(state, state.storeTimeoutAt)
}

function nextPollMilliseconds (state: ClaimState): number {
  const milliseconds = state.pollMilliseconds
  state.pollMilliseconds = Math.min(2 * milliseconds, maximumPollMilliseconds)
  return milliseconds
}

function wakeAt (state: ClaimState, at: number): ClaimCommand {
  return { kind: ClaimCommandKind.WakeAt, at: Math.min(at, state.options.sendBy) }
}

const codesWithRetryAfter = new Set([ResultCode.StoreUnavailable, ResultCode.ClaimInProgress, ResultCode.NoServer, ResultCode.ServersRefused])

function respond (state: ClaimState, code: ResultCode, outcome: Outcome = decideOutcome(state)): ClaimCommand[] {
  return emitResponse(state, { kind: ClaimCommandKind.Respond, code, outcome, ...(codesWithRetryAfter.has(code) ? { retryAfterMilliseconds } : {}) })
}

function emitResponse (state: ClaimState, command: ClaimCommand): ClaimCommand[] {
  if (state.answered) return []
  state.answered = true
  return [command]
}

function endClaim (state: ClaimState): ClaimCommand[] {
  state.phase = ClaimPhase.Done
  return [{ kind: ClaimCommandKind.Done }]
}
