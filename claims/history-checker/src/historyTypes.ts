// Types of the history that guests, servers and the table service record during a run, and of the
// violations found in it. All times are in epoch milliseconds of the same machine.
import type { ClaimRowState } from '@siskinbeam/request-claims/claimRow'
import type { Outcome } from '@siskinbeam/result-codes/resultCode'

/** How an invocation ended from the guest's point of view. */
export enum InvocationEnd {
  /** A complete response arrived, either from a server or from siskinbeam with the header `siskinbeam-account`. */
  Answered = 'answered',
  /** The connection broke within a response, as is correct if the server's response was truncated. */
  Truncated = 'truncated',
  /** The guest closed the connection before a response was complete. */
  GuestClosed = 'guest-closed',
  /** The experiment killed the entry host. */
  HostKilled = 'host-killed',
  /** The connection broke, or no response arrived before the end of the run. */
  ConnectionLost = 'connection-lost'
}

/** One send of a request by a guest. Each further send with the same key is another invocation with its own request ID. */
export interface Invocation {
  key: string | null
  requestId: string
  /** 1 for the first send of a key. */
  attempt: number
  idempotent: boolean
  invokedAt: number
  answeredAt: number | null
  end: InvocationEnd
  /** Code and outcome from the header `siskinbeam-account`; null on a server's response. */
  code: number | null
  outcome: Outcome | null
  /** The request that the body names: its key, or the request ID of a request without a key. Null without a server's body. */
  answerIdentity: string | null
}

/** One execution in a server's log. */
export interface Run {
  key: string | null
  requestId: string
  server: string
  boot: string
  startedAt: number
  finishedAt: number | null
}

/** A claim row that the table service committed. */
export interface CommittedClaim {
  key: string
  state: ClaimRowState
  attemptId: string
  committedAt: number
}

export interface History {
  invocations: readonly Invocation[]
  runs: readonly Run[]
  transactions: readonly CommittedClaim[]
}

export enum FindingKind {
  RanTwice = 'ran-twice',
  RefusedButRan = 'refused-but-ran',
  WrongAnswer = 'wrong-answer',
  AcknowledgedWithoutRun = 'acknowledged-without-run',
  LostWithoutAccount = 'lost-without-account',
  RanWithoutClaim = 'ran-without-claim',
  SettledWithoutRun = 'settled-without-run'
}

export type Finding =
  | { kind: FindingKind.RanTwice, identity: string, runs: Run[] }
  | { kind: FindingKind.RefusedButRan, invocation: Invocation, run: Run }
  | { kind: FindingKind.WrongAnswer, invocation: Invocation, expectedIdentity: string }
  | { kind: FindingKind.AcknowledgedWithoutRun, invocation: Invocation }
  | { kind: FindingKind.LostWithoutAccount, invocation: Invocation }
  | { kind: FindingKind.RanWithoutClaim, run: Run }
  | { kind: FindingKind.SettledWithoutRun, claim: CommittedClaim }
