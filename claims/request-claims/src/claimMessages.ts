// Events and commands of the claim state machine. The caller passes writes to the group commit, reads
// to the table service, and responses to the guest.
import type { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { ClaimRow, StoredResponse, StoredRow } from './claimRow.js'

/** Purpose of a write to a claim row. */
export enum ClaimWriteKind {
  Claim = 'claim',
  Release = 'release',
  Settle = 'settle',
  Abandon = 'abandon'
}

/** A conditional write of one claim row. With `expectedVersion` null the row must be absent. */
export interface ClaimWrite {
  /** Unique among all writes of a host. */
  writeId: string
  kind: ClaimWriteKind
  /** The attempt that receives the result. */
  attempt: string
  key: string
  row: ClaimRow
  expectedVersion: number | null
  /** In epoch milliseconds of the table service's clock. */
  expiresAtMilliseconds: number
}

/** Outcome of a write. */
export enum WriteResultKind {
  /** The row has the written state, either from this write or from an earlier transmission of it. */
  Held = 'held',
  /** The condition failed, and the write cannot take effect later. */
  ConditionFailed = 'condition-failed',
  /** The queue was full; nothing was written. */
  Refused = 'refused',
  /** Removed from the queue before it was sent; nothing was written. */
  Withdrawn = 'withdrawn'
}

/** Result of a write. Times are in epoch milliseconds of the table service's clock. */
export type WriteResult =
  | { kind: WriteResultKind.Held, version: number }
  | { kind: WriteResultKind.ConditionFailed, row: StoredRow | null, tableTimeMilliseconds: number }
  | { kind: WriteResultKind.Refused }
  | { kind: WriteResultKind.Withdrawn }

export enum ClaimEventKind {
  /** The request was admitted. */
  Start = 'start',
  /** The result of a write is known. */
  WriteDone = 'write-done',
  /** A read of the row succeeded. */
  RowRead = 'row-read',
  /** A read of the row failed. */
  ReadFailed = 'read-failed',
  /** The time of a `WakeAt` command was reached. */
  Wake = 'wake',
  /** `maySend` was true and the first byte is about to be written to a server. */
  SendStarted = 'send-started',
  /** The server is known not to have started the request. */
  NotStarted = 'not-started',
  /** The complete response arrived. */
  ServerResponded = 'server-answered',
  /** The send failed after at least one byte was written, so the request may have run. */
  SendFailed = 'send-failed',
  /** The caller aborts before a send, or after a send that the server is known not to have started. */
  GiveUp = 'give-up',
  /** The guest closed its connection. A request that was already sent continues, so that its response is stored. */
  GuestDisconnected = 'guest-left'
}

export type ClaimEvent =
  | { kind: ClaimEventKind.Start }
  | { kind: ClaimEventKind.WriteDone, writeId: string, result: WriteResult }
  | { kind: ClaimEventKind.RowRead, row: StoredRow | null, tableTimeMilliseconds: number }
  | { kind: ClaimEventKind.ReadFailed }
  | { kind: ClaimEventKind.Wake }
  | { kind: ClaimEventKind.SendStarted }
  | { kind: ClaimEventKind.NotStarted }
  | { kind: ClaimEventKind.ServerResponded, status: number, headers: StoredResponse['headers'], body: Uint8Array | null }
  | { kind: ClaimEventKind.SendFailed, code: ResultCode }
  | { kind: ClaimEventKind.GiveUp, code: ResultCode }
  | { kind: ClaimEventKind.GuestDisconnected }

export enum ClaimCommandKind {
  /** Pass the write to the group commit. */
  Write = 'write',
  /** Remove the write from the queue of the group commit if it has not been sent. */
  Withdraw = 'withdraw',
  /** Read the row. */
  Read = 'read',
  /** Deliver the event `Wake` at this time. A new command replaces the previous timer. */
  WakeAt = 'wake-at',
  /** The request may be sent; call `maySend` immediately before writing to the socket. */
  Send = 'send',
  /** Respond to the guest with a refusal or an error. */
  Respond = 'answer',
  /** Respond to the guest with the stored response and `siskinbeam-replayed: true`. */
  Replay = 'replay',
  /** No work is outstanding; the state can be discarded. */
  Done = 'done'
}

export type ClaimCommand =
  | { kind: ClaimCommandKind.Write, write: ClaimWrite }
  | { kind: ClaimCommandKind.Withdraw, writeId: string }
  | { kind: ClaimCommandKind.Read, key: string }
  | { kind: ClaimCommandKind.WakeAt, at: number }
  | { kind: ClaimCommandKind.Send }
  | { kind: ClaimCommandKind.Respond, code: ResultCode, outcome: Outcome, retryAfterMilliseconds?: number }
  | { kind: ClaimCommandKind.Replay, answer: StoredResponse }
  | { kind: ClaimCommandKind.Done }
