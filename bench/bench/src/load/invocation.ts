// What the guests of the load driver saw: one record for each request, and in it one for each send.
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import type { RequestKind } from '../workload.js'

/** How one send of a guest ended. */
export enum SendEnd {
  Answered = 'answered',
  /** The entry host gave an account. */
  Account = 'account',
  /** The connection broke within an answer. */
  Truncated = 'truncated',
  /** The connection broke, or stayed silent, before an answer. */
  Broken = 'broken'
}

/** One send. Times are epoch milliseconds with fractions. */
export interface GuestSend {
  requestId: string
  attempt: number
  address: string
  sentAt: number
  endedAt: number
  end: SendEnd
  code?: number
  outcome?: Outcome
  /** The request id and key that the answer bears. */
  answerRequestId?: string
  answerKey?: string | null
  answerPath?: string
  /** Milliseconds that the server states for its own part. */
  serverMilliseconds?: number
  replayed?: boolean
}

/** One request of a guest with all its sends. */
export interface GuestRequest {
  kind: RequestKind
  key: string | undefined
  path: string
  intendedAt: number
  sends: GuestSend[]
  /** Set once the guest has a final answer or gives up. */
  endedAt?: number
}

/** What the guest knows in the end. */
export enum FinalEnd {
  Answered = 'answered',
  RefusedNotRun = 'refused-not-run',
  Unknown = 'unknown',
  LostWithoutAccount = 'lost-without-account'
}

const finalByOutcome: Record<Outcome, FinalEnd> = {
  // Code 410: it ran, but the answer was not kept.
  [Outcome.Run]: FinalEnd.Answered,
  [Outcome.NotRun]: FinalEnd.RefusedNotRun,
  [Outcome.Unknown]: FinalEnd.Unknown
}

/** Classifies a request by its last account or answer. */
export function classifyRequest ({ sends, kind, key }: GuestRequest): FinalEnd {
  if (sends.some(({ end }) => end === SendEnd.Answered)) return FinalEnd.Answered
  const last = sends.filter(({ end }) => end === SendEnd.Account).at(-1)
  if (last === undefined) return FinalEnd.LostWithoutAccount
  // Without a key, nothing links a send that broke to the account of a later one.
  if (!kind.idempotent && key === undefined && sends.some(({ end }) => isWithoutAccount(end))) return FinalEnd.Unknown
  return finalByOutcome[last.outcome ?? Outcome.Unknown]
}

/** Whether a send ended without an answer and without an account. */
export function isWithoutAccount (end: SendEnd): boolean {
  return end === SendEnd.Broken || end === SendEnd.Truncated
}
