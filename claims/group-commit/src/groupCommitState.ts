// The state of the group commit of one host.
import type { ClaimWrite } from '@siskinbeam/request-claims/claimMessages'

export const maximumRowsPerTransaction = 100
/** Keeps a group of settlements with large bodies below the maximum request size of the table service. */
export const maximumTransactionBytes = 1_048_576
export const settlementBatchDelayMilliseconds = 250
export const tokenBucketCapacity = 5
export const maximumBackoffMilliseconds = 1_000
/** Delay before an unanswered transaction is resent for the first time; doubles up to `maximumBackoffMilliseconds`. */
export const initialRepeatDelayMilliseconds = 20
export const defaultMaximumQueuedClaims = 1_000

/** A write that waits for a transaction. */
export interface QueuedWrite {
  write: ClaimWrite
  enqueuedAt: number
  bytes: number
  /** Number of transactions with this write that failed because of another write. */
  retries: number
}

/** The transaction in flight, or waiting to be resent at `repeatAt`. */
export interface Transaction {
  number: number
  writes: QueuedWrite[]
  sentAt: number
  /** Number of sends that were not answered. If it is above 0, the transaction may have taken effect. */
  unanswered: number
  repeatAt?: number
}

export interface CreateGroupCommitStateOptions {
  now: number
  /** This host's share of the write rate of the table service. */
  transactionsPerSecond: number
  /** Claims are refused when this number of writes is queued, other writes at twice the number. */
  maximumQueuedClaims?: number
}

/** State of the group commit; modified only by `stepGroupCommit`. */
export interface GroupCommitState {
  transactionsPerSecond: number
  readonly maximumQueuedClaims: number
  /** Writes whose transaction failed because of another write. They have the highest priority. */
  retryQueue: QueuedWrite[]
  /** Writes that a guest waits for: claims, and writes that mark expired claims of other attempts as abandoned. */
  urgentQueue: QueuedWrite[]
  /** Settlements and releases. */
  deferredQueue: QueuedWrite[]
  current?: Transaction
  sentTransactions: number
  tokens: number
  refilledAt: number
  /** Delay between transactions after a send without effect, such as one that the rate limit rejected; 0 otherwise. */
  backoffMilliseconds: number
  backoffUntil: number
  flushing: boolean
  /** Epoch time of the table service minus the monotonic time of this host, in milliseconds; absent before the first answer. */
  tableTimeOffsetMilliseconds?: number
}

/** Creates the state of a group commit without queued writes. */
export function createGroupCommitState ({ now, transactionsPerSecond, maximumQueuedClaims = defaultMaximumQueuedClaims }: CreateGroupCommitStateOptions): GroupCommitState {
  return {
    transactionsPerSecond,
    maximumQueuedClaims,
    retryQueue: [],
    urgentQueue: [],
    deferredQueue: [],
    sentTransactions: 0,
    tokens: tokenBucketCapacity,
    refilledAt: now,
    backoffMilliseconds: 0,
    backoffUntil: now,
    flushing: false
  }
}

/** Returns the number of writes that wait for a transaction. */
export function countQueued ({ retryQueue, urgentQueue, deferredQueue }: GroupCommitState): number {
  return retryQueue.length + urgentQueue.length + deferredQueue.length
}

/** Whether no write is queued or in flight. A host that shuts down waits for this. */
export function isIdle (state: GroupCommitState): boolean {
  return state.current === undefined && countQueued(state) === 0
}
