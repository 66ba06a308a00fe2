// Events and commands of admission. Times are milliseconds of the monotonic clock.
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

/** A request asks for a slot. `classRank` is 0 for the most important class. */
export interface ArrivedEvent {
  kind: AdmissionEventKind.Arrived
  requestId: string
  classRank: number
  deadlineAt: number
  /** What a refusal states: `unknown` for a key whose row was not read and that may have been sent before. */
  refusalOutcome: Outcome
}

export type AdmissionEvent =
  | ArrivedEvent
  /** An admitted request waits for its claim. It gives up its slot, so that a store outage does not block requests that need no claim. */
  | { kind: AdmissionEventKind.Paused, requestId: string }
  /** The claim is decided. The request waits in front of its class. */
  | { kind: AdmissionEventKind.Resumed, requestId: string, refusalOutcome: Outcome }
  /** The exchange ended other than by a shed. */
  | { kind: AdmissionEventKind.Finished, requestId: string }
  /** A server refused with 503 and `not-started`. With `resends` the request keeps its slot, otherwise it is refused. */
  | { kind: AdmissionEventKind.Shed, requestId: string, resends: boolean, refusalOutcome: Outcome }
  | { kind: AdmissionEventKind.Cancelled, requestId: string }
  /** Comes every 10 ms or so while requests wait. */
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

/** A request that gets neither command waits. */
export type AdmissionCommand =
  | { kind: AdmissionCommandKind.Admit, requestId: string, waitedMilliseconds: number }
  | RefuseCommand

export enum Place {
  Waiting,
  InFlight,
  Paused
}

/** One request known to admission. `previous` and `next` link the requests that wait in its class. */
export interface Entry {
  requestId: string
  classRank: number
  arrivedAt: number
  deadlineAt: number
  refusalOutcome: Outcome
  place: Place
  admittedAt: number
  previous?: Entry
  next?: Entry
}
