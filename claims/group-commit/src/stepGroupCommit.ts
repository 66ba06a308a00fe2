// State machine that batches the claim writes of one host into few transactions, with one in flight at a
// time. An unanswered transaction is resent unchanged until the answer is definite, because an earlier
// send may take effect at any time. A definite answer to one send holds for all of them: each write is
// conditional on a row version that occurs only once, so after one send was applied, or failed on a
// changed row, no other send can be applied.
import { ClaimWriteKind, WriteResultKind, type ClaimWrite, type WriteResult } from '@siskinbeam/request-claims/claimMessages'
import { decodeClaimRow, encodeClaimRow, type StoredRow } from '@siskinbeam/request-claims/claimRow'
import { isGroupDue, dequeueGroup } from './dequeueGroup.js'
import {
  tokenBucketCapacity, countQueued, maximumBackoffMilliseconds, settlementBatchDelayMilliseconds, initialRepeatDelayMilliseconds,
  type GroupCommitState, type QueuedWrite, type Transaction
} from './groupCommitState.js'
import {
  GroupCommitCommandKind, GroupCommitEventKind, TransactionResultKind,
  type GroupCommitCommand, type GroupCommitEvent, type TransactionResult
} from './groupCommitMessages.js'

const millisecondsPerSecond = 1_000
/** Approximate size of a row without its stored response. */
const rowBytes = 512

export interface StepGroupCommitOptions {
  state: GroupCommitState
  event: GroupCommitEvent
  /** Monotonic milliseconds. */
  now: number
}

/** Applies one event to the group commit and returns the commands to execute, in order. */
export function stepGroupCommit ({ state, event, now }: StepGroupCommitOptions): GroupCommitCommand[] {
  refillTokens(state, now)
  const handle = eventHandlers[event.kind] as Handler<GroupCommitEvent>
  return [...handle(state, event, now), ...sendNext(state, now)]
}

type Handler<Event> = (state: GroupCommitState, event: Event, now: number) => GroupCommitCommand[]
type EventHandlers = { [Kind in GroupCommitEventKind]: Handler<Extract<GroupCommitEvent, { kind: Kind }>> }

const eventHandlers: EventHandlers = {
  [GroupCommitEventKind.Offer]: (state, { write }, now) => {
    const limit = write.kind === ClaimWriteKind.Claim ? state.maximumQueuedClaims : 2 * state.maximumQueuedClaims
    if (countQueued(state) >= limit) return [report(write, { kind: WriteResultKind.Refused })]
    const deferred = write.kind === ClaimWriteKind.Settle || write.kind === ClaimWriteKind.Release
    const queue = deferred ? state.deferredQueue : state.urgentQueue
    queue.push({ write, enqueuedAt: now, bytes: estimateBytes(write), retries: 0 })
    return []
  },
  // Queued writes can be removed: they were never sent, or a definite answer showed that they were not applied.
  [GroupCommitEventKind.Withdraw]: (state, { writeId }) => {
    const queue = [state.retryQueue, state.urgentQueue, state.deferredQueue].find(candidate => candidate.some(({ write }) => write.writeId === writeId))
    if (queue === undefined) return []
    return queue
      .splice(queue.findIndex(({ write }) => write.writeId === writeId), 1)
      .map(({ write }) => report(write, { kind: WriteResultKind.Withdrawn }))
  },
  [GroupCommitEventKind.TransactionDone]: (state, { transaction, result }, now) => {
    const { current } = state
    if (current === undefined || current.number !== transaction || current.repeatAt !== undefined) return []
    const handle = resultHandlers[result.kind] as ResultHandler<TransactionResult>
    return handle(state, current, result, now)
  },
  [GroupCommitEventKind.Wake]: () => [],
  [GroupCommitEventKind.SetRate]: (state, { transactionsPerSecond }) => {
    state.transactionsPerSecond = transactionsPerSecond
    return []
  },
  [GroupCommitEventKind.Flush]: state => {
    state.flushing = true
    return []
  }
}

type ResultHandler<Answer> = (state: GroupCommitState, current: Transaction, result: Answer, now: number) => GroupCommitCommand[]
type ResultHandlers = { [Kind in TransactionResultKind]: ResultHandler<Extract<TransactionResult, { kind: Kind }>> }

const resultHandlers: ResultHandlers = {
  [TransactionResultKind.Committed]: (state, { writes }, { versions, tableTimeMilliseconds }, now) => {
    recordAnswer(state, tableTimeMilliseconds, now)
    return writes.map(({ write }) => report(write, { kind: WriteResultKind.Held, version: versions.get(write.key) ?? 0 }))
  },
  [TransactionResultKind.ConditionFailed]: (state, { writes }, { rows, tableTimeMilliseconds }, now) => {
    recordAnswer(state, tableTimeMilliseconds, now)
    requeueInSmallerGroup(state, writes.filter(({ write }) => !rows.has(write.key)))
    return writes
      .filter(({ write }) => rows.has(write.key))
      .map(({ write }) => report(write, classifyFailedWrite(write, rows.get(write.key) ?? null, tableTimeMilliseconds)))
  },
  [TransactionResultKind.RateLimited]: backOff,
  [TransactionResultKind.NotSent]: backOff,
  // The group is split until the write that the service rejects is alone.
  [TransactionResultKind.Rejected]: (state, { writes }) => {
    delete state.current
    if (writes.length === 1) return writes.map(({ write }) => report(write, { kind: WriteResultKind.Refused }))
    requeueInSmallerGroup(state, writes)
    return []
  },
  [TransactionResultKind.Unanswered]: (_state, current, _result, now) => {
    current.repeatAt = now + Math.min(initialRepeatDelayMilliseconds * 2 ** current.unanswered, maximumBackoffMilliseconds)
    current.unanswered += 1
    return []
  }
}

function estimateBytes ({ key, row: { answer } }: ClaimWrite): number {
  return rowBytes + key.length + (answer === undefined ? 0 : JSON.stringify(answer.headers).length + (answer.body?.length ?? 0))
}

/** Doubles the backoff after a send that had no effect, and returns the writes to the queue. */
function backOff (state: GroupCommitState, current: Transaction, _result: TransactionResult, now: number): GroupCommitCommand[] {
  const minimumBackoff = millisecondsPerSecond / state.transactionsPerSecond
  state.backoffMilliseconds = Math.min(Math.max(2 * state.backoffMilliseconds, minimumBackoff), maximumBackoffMilliseconds)
  state.backoffUntil = now + state.backoffMilliseconds
  // An earlier unanswered send may still take effect, so the group must not change.
  if (current.unanswered > 0) {
    current.repeatAt = state.backoffUntil
    return []
  }
  delete state.current
  state.retryQueue.push(...current.writes)
  return []
}

function requeueInSmallerGroup (state: GroupCommitState, writes: QueuedWrite[]): void {
  state.retryQueue.push(...writes.map(queued => ({ ...queued, retries: queued.retries + 1 })))
}

/** A write whose condition failed was still applied if the row already has its state: an earlier send took effect. */
function classifyFailedWrite (write: ClaimWrite, stored: StoredRow | null, tableTimeMilliseconds: number): WriteResult {
  const row = stored === null ? undefined : decodeClaimRow(stored.value)
  if (stored !== null && row !== undefined && row.attempt === write.row.attempt && row.state === write.row.state) {
    return { kind: WriteResultKind.Held, version: stored.version }
  }
  return { kind: WriteResultKind.ConditionFailed, row: stored, tableTimeMilliseconds }
}

function recordAnswer (state: GroupCommitState, tableTimeMilliseconds: number, now: number): void {
  // The send time is the earliest instant that the service's timestamp can refer to, so a slow answer
  // makes leases longer and never shorter.
  state.tableTimeOffsetMilliseconds = tableTimeMilliseconds - (state.current?.sentAt ?? now)
  state.backoffMilliseconds = state.backoffMilliseconds < millisecondsPerSecond / state.transactionsPerSecond ? 0 : state.backoffMilliseconds / 2
  state.backoffUntil = now + state.backoffMilliseconds
  delete state.current
}

function refillTokens (state: GroupCommitState, now: number): void {
  const added = (now - state.refilledAt) * state.transactionsPerSecond / millisecondsPerSecond
  state.tokens = Math.min(state.tokens + added, tokenBucketCapacity)
  state.refilledAt = now
}

function sendNext (state: GroupCommitState, now: number): GroupCommitCommand[] {
  const { current } = state
  if (current !== undefined && current.repeatAt === undefined) return []
  const oldest = state.deferredQueue[0]
  const due = current !== undefined || isGroupDue(state, now)
  if (!due && oldest === undefined) return []
  const at = Math.max(
    due ? now : (oldest as QueuedWrite).enqueuedAt + settlementBatchDelayMilliseconds,
    current?.repeatAt ?? now,
    state.backoffUntil,
    now + Math.max(0, 1 - state.tokens) * millisecondsPerSecond / state.transactionsPerSecond
  )
  if (at > now) return [{ kind: GroupCommitCommandKind.WakeAt, at }]
  state.tokens -= 1
  return [transact(state, current ?? startTransaction(state, now), now)]
}

function startTransaction (state: GroupCommitState, now: number): Transaction {
  return { number: 0, writes: dequeueGroup(state, now), sentAt: now, unanswered: 0 }
}

// Each send has its own number, so that a late result of an earlier send is not attributed to this one.
function transact (state: GroupCommitState, current: Transaction, now: number): GroupCommitCommand {
  state.sentTransactions += 1
  state.current = { number: state.sentTransactions, writes: current.writes, sentAt: now, unanswered: current.unanswered }
  return {
    kind: GroupCommitCommandKind.Transact,
    transaction: state.sentTransactions,
    operations: current.writes.map(({ write }) => ({
      kind: 'put',
      key: write.key,
      value: encodeClaimRow(write.row),
      expectedVersion: write.expectedVersion,
      expiresAtMilliseconds: write.expiresAtMilliseconds
    }))
  }
}

function report (write: ClaimWrite, result: WriteResult): GroupCommitCommand {
  return { kind: GroupCommitCommandKind.Report, attempt: write.attempt, writeId: write.writeId, result }
}
