// What the group commit of one host is told and what it asks for.
import type { StoredRow } from '@siskinbeam/request-claims/claimRow'
import type { ClaimWrite, WriteResult } from '@siskinbeam/request-claims/claimMessages'

/** One conditional put of a transaction, in the form that the table service takes. */
export interface PutOperation {
  kind: 'put'
  key: string
  value: Record<string, unknown>
  expectedVersion: number | null
  expiresAtMilliseconds: number
}

/** How a transaction ended for the client. */
export enum TransactionResultKind {
  Committed = 'committed',
  /** A condition failed, nothing was written, and the current rows of all failed keys are known. */
  ConditionFailed = 'condition-failed',
  /** Refused for the rate; nothing was written. */
  RateLimited = 'rate-limited',
  /** No connection was made; nothing was written. */
  NotSent = 'not-sent',
  /** Refused for its content, for example its size; nothing was written, and the same group would be refused again. */
  Rejected = 'rejected',
  /** No usable answer; the transaction may have taken effect or may still do so. */
  Unanswered = 'unanswered'
}

/** Result of a transaction. Times are the table service's epoch milliseconds. */
export type TransactionResult =
  | { kind: TransactionResultKind.Committed, versions: ReadonlyMap<string, number>, tableTimeMilliseconds: number }
  | { kind: TransactionResultKind.ConditionFailed, rows: ReadonlyMap<string, StoredRow | null>, tableTimeMilliseconds: number }
  | { kind: TransactionResultKind.RateLimited }
  | { kind: TransactionResultKind.NotSent }
  | { kind: TransactionResultKind.Rejected }
  | { kind: TransactionResultKind.Unanswered }

export enum GroupCommitEventKind {
  /** A claim asks for a write. */
  Offer = 'offer',
  /** A claim no longer needs a write that was not sent yet. */
  Withdraw = 'withdraw',
  /** The transaction in flight ended. */
  TransactionDone = 'transaction-done',
  /** The time of a `WakeAt` command was reached. */
  Wake = 'wake',
  /** The host's share of the write rate changed. */
  SetRate = 'set-rate',
  /** The host shuts down: settlements no longer wait for company. */
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
  /** Send the transaction and give `TransactionDone` with its number. */
  Transact = 'transact',
  /** Give `WriteDone` to the claim of this attempt. */
  Report = 'report',
  /** Give the event `Wake` at this time. A later command replaces an earlier one. */
  WakeAt = 'wake-at'
}

export type GroupCommitCommand =
  | { kind: GroupCommitCommandKind.Transact, transaction: number, operations: PutOperation[] }
  | { kind: GroupCommitCommandKind.Report, attempt: string, writeId: string, result: WriteResult }
  | { kind: GroupCommitCommandKind.WakeAt, at: number }
