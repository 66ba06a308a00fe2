// What guests, servers and the table service recorded during a run, and what can be wrong with it.
// All times are epoch milliseconds of one machine.
import type { ClaimRowState } from '@siskinbeam/request-claims/claimRow'
import type { Outcome } from '@siskinbeam/result-codes/resultCode'

/** How an invocation ended for its guest. */
export enum InvocationEnd {
  /** A whole response arrived: a server's answer or an account of siskinbeam. */
  Answered = 'answered',
  /** The connection broke within a response, as it must when the server's response is cut. */
  Truncated = 'truncated',
  /** The guest closed the connection first. */
  GuestClosed = 'guest-closed',
  /** The experiment killed the entry host. */
  HostKilled = 'host-killed',
  /** The connection broke, or nothing came until the end of the run. */
  ConnectionLost = 'connection-lost'
}

/** One send of a request by a guest. A send of the same key again is another invocation with its own request id. */
export interface Invocation {
  key: string | null
  requestId: string
  /** 1 for the first send of a key. */
  attempt: number
  idempotent: boolean
  invokedAt: number
  answeredAt: number | null
  end: InvocationEnd
  /** Code and outcome of `siskinbeam-account`; null on an answer of a server. */
  code: number | null
  outcome: Outcome | null
  /** What the body says it answers: the key of a keyed request, else the request id. Null without a server's body. */
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
