// Events, commands and request entries of admission control. Times are milliseconds of the monotonic clock.
import { Outcome, type ResultCode } from '@siskinbeam/result-codes/resultCode'

export enum AdmissionEventKind {
  Arrived = 'arrived',
  Paused = 'paused',
  Resumed = 'resumed',
  Finished = 'finished',
  Shed = 'shed',
  Cancelled = 'cancelled',
  Ticked = 'ticked'
}

/** A new request. `classRank` is 0 for the class with the highest priority. */
export interface ArrivedEvent {
  kind: AdmissionEventKind.Arrived
  requestId: string
  classRank: number
  deadlineAt: number
  /** The outcome reported by a refusal: `unknown` for a key whose row was not read and that may have been sent before. */
  refusalOutcome: Outcome
}

export type AdmissionEvent =
  | ArrivedEvent
  /** An admitted request waits for its claim. It releases its slot, so a store outage does not block requests that need no claim. */
  | { kind: AdmissionEventKind.Paused, requestId: string }
  /** The claim is decided. The request is queued at the head of its class. */
  | { kind: AdmissionEventKind.Resumed, requestId: string, refusalOutcome: Outcome }
  /** The exchange ended for any reason other than a shed. */
  | { kind: AdmissionEventKind.Finished, requestId: string }
  /** A server returned 503 with `not-started`. With `resends` the request keeps its slot; otherwise it is refused. */
  | { kind: AdmissionEventKind.Shed, requestId: string, resends: boolean, refusalOutcome: Outcome }
  | { kind: AdmissionEventKind.Cancelled, requestId: string }
  /** Sent about every 10 ms while requests are queued. */
  | { kind: AdmissionEventKind.Ticked }

export enum AdmissionCommandKind {
  Admit = 'admit',
  Refuse = 'refuse'
}

export interface RefuseCommand {
  kind: AdmissionCommandKind.Refuse
  requestId: string
  code: ResultCode
  outcome: Outcome
  retryAfterMilliseconds: number
}

/** A request that gets neither command stays queued. */
export type AdmissionCommand =
  | { kind: AdmissionCommandKind.Admit, requestId: string, waitedMilliseconds: number }
  | RefuseCommand

export enum RequestPhase {
  Waiting,
  InFlight,
  Paused
}

/** A request tracked by admission control. `previous` and `next` link the queued requests of its class. */
export interface RequestEntry {
  requestId: string
  classRank: number
  arrivedAt: number
  deadlineAt: number
  refusalOutcome: Outcome
  phase: RequestPhase
  admittedAt: number
  previous?: RequestEntry
  next?: RequestEntry
}
