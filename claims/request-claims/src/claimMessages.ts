// What the claim of a request is told and what it asks for. The caller passes writes to the group
// commit, reads to the table service, and answers to the guest.
import type { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { ClaimRow, StoredAnswer, StoredRow } from './claimRow.js'

/** Purpose of a write to a claim row. */
export enum ClaimWriteKind {
  Claim = 'claim',
  Release = 'release',
  Settle = 'settle',
  Abandon = 'abandon'
}

/** A conditional write of one claim row. `expectedVersion` null demands that the row is absent. */
export interface ClaimWrite {
  /** Unique among all writes of a host. */
  writeId: string
  kind: ClaimWriteKind
  /** The attempt that gets the result. */
  attempt: string
  key: string
  row: ClaimRow
  expectedVersion: number | null
  /** Table service's epoch milliseconds. */
  expiresAtMilliseconds: number
}

/** How a write ended. */
export enum WriteResultKind {
  /** The row has the written state, from this write or from an earlier copy of it. */
  Held = 'held',
  /** The condition failed and the write cannot take effect later. */
  ConditionFailed = 'condition-failed',
  /** The queue was full; nothing was written. */
  Refused = 'refused',
  /** Removed from the queue before it was sent; nothing was written. */
  Withdrawn = 'withdrawn'
}

/** Result of a write. Times are the table service's epoch milliseconds. */
export type WriteResult =
  | { kind: WriteResultKind.Held, version: number }
  | { kind: WriteResultKind.ConditionFailed, row: StoredRow | null, tableTimeMilliseconds: number }
  | { kind: WriteResultKind.Refused }
  | { kind: WriteResultKind.Withdrawn }

export enum ClaimEventKind {
  /** The request was admitted. */
  Start = 'start',
  /** A write ended. */
  WriteDone = 'write-done',
  /** A read of the row was answered. */
  RowRead = 'row-read',
  /** A read of the row was not answered. */
  ReadFailed = 'read-failed',
  /** The time of a `WakeAt` command was reached. */
  Wake = 'wake',
  /** `maySend` was true and the first byte is about to be written to a server. */
  SendStarted = 'send-started',
  /** The server provably did not start the request. */
  NotStarted = 'not-started',
  /** The whole response arrived. */
  ServerAnswered = 'server-answered',
  /** The send failed after a byte was written, so that the request may have run. */
  SendFailed = 'send-failed',
  /** The caller stops before a send, or after a send that was provably not started. */
  GiveUp = 'give-up',
  /** The guest closed its connection. A request that was sent continues, so that its answer is stored. */
  GuestLeft = 'guest-left'
}

export type ClaimEvent =
  | { kind: ClaimEventKind.Start }
  | { kind: ClaimEventKind.WriteDone, writeId: string, result: WriteResult }
  | { kind: ClaimEventKind.RowRead, row: StoredRow | null, tableTimeMilliseconds: number }
  | { kind: ClaimEventKind.ReadFailed }
  | { kind: ClaimEventKind.Wake }
  | { kind: ClaimEventKind.SendStarted }
  | { kind: ClaimEventKind.NotStarted }
  | { kind: ClaimEventKind.ServerAnswered, status: number, headers: StoredAnswer['headers'], body: Uint8Array | null }
  | { kind: ClaimEventKind.SendFailed, code: ResultCode }
  | { kind: ClaimEventKind.GiveUp, code: ResultCode }
  | { kind: ClaimEventKind.GuestLeft }

export enum ClaimCommandKind {
  /** Pass the write to the group commit. */
  Write = 'write',
  /** Remove the write from the group commit if it was not sent yet. */
  Withdraw = 'withdraw',
  /** Read the row. */
  Read = 'read',
  /** Give the event `Wake` at this time. A later command replaces an earlier one. */
  WakeAt = 'wake-at',
  /** The request may be sent; call `maySend` immediately before writing to the socket. */
  Send = 'send',
  /** Answer the guest with a refusal or failure. */
  Answer = 'answer',
  /** Answer the guest with the stored response and `siskinbeam-replayed: true`. */
  Replay = 'replay',
  /** Nothing is outstanding; the state may be dropped. */
  Done = 'done'
}

export type ClaimCommand =
  | { kind: ClaimCommandKind.Write, write: ClaimWrite }
  | { kind: ClaimCommandKind.Withdraw, writeId: string }
  | { kind: ClaimCommandKind.Read, key: string }
  | { kind: ClaimCommandKind.WakeAt, at: number }
  | { kind: ClaimCommandKind.Send }
  | { kind: ClaimCommandKind.Answer, code: ResultCode, outcome: Outcome, retryAfterMilliseconds?: number }
  | { kind: ClaimCommandKind.Replay, answer: StoredAnswer }
  | { kind: ClaimCommandKind.Done }
