// Events and commands of the group commit state machine of one host.
import type { StoredRow } from '@siskinbeam/request-claims/claimRow'
import type { ClaimWrite, WriteResult } from '@siskinbeam/request-claims/claimMessages'

/** One conditional put of a transaction, in the request format of the table service. */
export interface PutOperation {
  kind: 'put'
  key: string
  value: Record<string, unknown>
  expectedVersion: number | null
  expiresAtMilliseconds: number
}

/** Outcome of a transaction as seen by the client. */
export enum TransactionResultKind {
  Committed = 'committed',
  /** A condition failed and nothing was written; the answer has the current rows of all failed keys. */
  ConditionFailed = 'condition-failed',
  /** Rejected by the rate limit; nothing was written. */
  RateLimited = 'rate-limited',
  /** No connection was made; nothing was written. */
  NotSent = 'not-sent',
  /** Rejected for its content, for example its size; nothing was written, and the same group would be rejected again. */
  Rejected = 'rejected',
  /** No usable answer arrived; the transaction may have taken effect or may still take effect. */
  Unanswered = 'unanswered'
}

/** Result of a transaction. Times are in epoch milliseconds of the table service's clock. */
export type TransactionResult =
  | { kind: TransactionResultKind.Committed, versions: ReadonlyMap<string, number>, tableTimeMilliseconds: number }
  | { kind: TransactionResultKind.ConditionFailed, rows: ReadonlyMap<string, StoredRow | null>, tableTimeMilliseconds: number }
  | { kind: TransactionResultKind.RateLimited }
  | { kind: TransactionResultKind.NotSent }
  | { kind: TransactionResultKind.Rejected }
  | { kind: TransactionResultKind.Unanswered }

export enum GroupCommitEventKind {
  /** A claim submits a write. */
  Offer = 'offer',
  /** A claim cancels a queued write. A write in flight is not affected. */
  Withdraw = 'withdraw',
  /** The result of the transaction in flight is known. */
  TransactionDone = 'transaction-done',
  /** The time of a `WakeAt` command was reached. */
  Wake = 'wake',
  /** This host's share of the write rate changed. */
  SetRate = 'set-rate',
  /** The host is shutting down: settlements are no longer delayed to be batched with other writes. */
  Flush = 'flush'
}

export type GroupCommitEvent =
  | { kind: GroupCommitEventKind.Offer, write: ClaimWrite }
  | { kind: GroupCommitEventKind.Withdraw, writeId: string }
  | { kind: GroupCommitEventKind.TransactionDone, transaction: number, result: TransactionResult }
  | { kind: GroupCommitEventKind.Wake }
  | { kind: GroupCommitEventKind.SetRate, transactionsPerSecond: number }
  | { kind: GroupCommitEventKind.Flush }

export enum GroupCommitCommandKind {
  /** Send the transaction, then deliver `TransactionDone` with its number. */
  Transact = 'transact',
  /** Deliver `WriteDone` to the claim of this attempt. */
  Report = 'report',
  /** Deliver the event `Wake` at this time. A new command replaces the previous timer. */
  WakeAt = 'wake-at'
}

export type GroupCommitCommand =
  | { kind: GroupCommitCommandKind.Transact, transaction: number, operations: PutOperation[] }
  | { kind: GroupCommitCommandKind.Report, attempt: string, writeId: string, result: WriteResult }
  | { kind: GroupCommitCommandKind.WakeAt, at: number }
