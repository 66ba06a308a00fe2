// The state of the group commit of one host.
import type { ClaimWrite } from '@siskinbeam/request-claims/claimMessages'

export const maximumRowsPerTransaction = 100
/** Keeps a group of settlements with large bodies below what the table service takes in one request. */
export const maximumTransactionBytes = 1_048_576
export const settlementWaitMilliseconds = 250
export const burstTransactions = 5
export const longestSpacingMilliseconds = 1_000
/** First pause before a transaction without an answer is repeated; doubles up to `longestSpacingMilliseconds`. */
export const shortestRepeatMilliseconds = 20
export const defaultMaximumQueuedClaims = 1_000

/** A write that waits for its transaction. */
export interface QueuedWrite {
  write: ClaimWrite
  offeredAt: number
  bytes: number
  /** Transactions that failed for a condition of another write. */
  repeats: number
}

/** The transaction in flight, or to be repeated at `repeatAt`. */
export interface Transaction {
  number: number
  writes: QueuedWrite[]
  sentAt: number
  /** Sends without an answer. While it is above 0 the transaction may have taken effect. */
  unanswered: number
  repeatAt?: number
}

export interface CreateGroupCommitStateOptions {
  now: number
  /** This host's share of the write rate of the table service. */
  transactionsPerSecond: number
  /** Claims are refused beyond this number of queued writes, other writes beyond twice the number. */
  maximumQueuedClaims?: number
}

/** State of the group commit; changed only by `stepGroupCommit`. */
export interface GroupCommitState {
  transactionsPerSecond: number
  readonly maximumQueuedClaims: number
  /** Writes whose transaction failed for another write. They go first. */
  repeated: QueuedWrite[]
  /** Writes that a guest waits for: claims, and marks on claims of other attempts. */
  urgent: QueuedWrite[]
  /** Settlements and releases. */
  deferred: QueuedWrite[]
  current?: Transaction
  transactions: number
  tokens: number
  refilledAt: number
  /** Pause between transactions after the table service refused one for its rate; 0 without refusal. */
  spacingMilliseconds: number
  notBefore: number
  flushing: boolean
  /** Table service's epoch milliseconds minus monotonic milliseconds, once it has answered. */
  tableTimeOffsetMilliseconds?: number
}

/** Creates an empty group commit. */
export function createGroupCommitState ({ now, transactionsPerSecond, maximumQueuedClaims = defaultMaximumQueuedClaims }: CreateGroupCommitStateOptions): GroupCommitState {
  return {
    transactionsPerSecond,
    maximumQueuedClaims,
    repeated: [],
    urgent: [],
    deferred: [],
    transactions: 0,
    tokens: burstTransactions,
    refilledAt: now,
    spacingMilliseconds: 0,
    notBefore: now,
    flushing: false
  }
}

/** Number of writes that wait for a transaction. */
export function countQueued ({ repeated, urgent, deferred }: GroupCommitState): number {
  return repeated.length + urgent.length + deferred.length
}

/** Whether nothing is queued or in flight. A host that shuts down waits for it. */
export function isIdle (state: GroupCommitState): boolean {
  return state.current === undefined && countQueued(state) === 0
}
