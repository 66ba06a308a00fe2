// Decides whether a request is sent once more: to another server after a refusal or a failure, or as a
// hedge while the first send is unanswered.
//
// Every further send counts against the budget, those after a shed included. Admission balances the
// shed share at 5 % or less (at a limit of 4), so the budget of 10 % normally covers them; when it is
// used up, a shed request is refused as not run, which costs its guest less than it costs the service
// to have shed requests circulate among full servers.
//
// Only one layer of a call tree retries requests that may have started: the topmost layer that is
// allowed to, which claims this by sending `siskinbeam-retried: 1` from its first send on. Without that
// rule, each layer could multiply the work of those below it, up to 22 times in a row. A resend after a
// provable non-start is exempt: at most one of the sends starts the request, so nothing is multiplied
// below. Refusing it would fail most deep call trees at a shed share of a few percent.
import { takeToken, type RetryBudget, type TokenRank } from './retryBudget.js'

/** Why a further send is considered. */
export enum RetryCause {
  /** Connection refused before a byte was written, or 503 with `not-started`. */
  NotStarted = 'not-started',
  /** The connection broke, or the answer was cut, after the request was sent. */
  Failed = 'failed',
  /** The answer takes long. The first send goes on. */
  Hedge = 'hedge'
}

/** Why there is no further send. */
export enum NoRetryReason {
  AttemptsUsed = 'attempts-used',
  MayHaveStarted = 'may-have-started',
  OtherLayerRetries = 'other-layer-retries',
  Isolated = 'isolated',
  DeadlineTooShort = 'deadline-too-short',
  BudgetUsed = 'budget-used'
}

export type RetryDecision =
  | { retries: true, delayMilliseconds: number }
  | { retries: false, reason: NoRetryReason }

/** What the layer rule depends on. */
export interface RetryPlace {
  idempotent: boolean
  /** Whether the request arrived with `siskinbeam-retried: 1`. */
  retriedAbove: boolean
  /** `retry.maximumAttempts` of the bundle, the first send included. */
  maximumAttempts: number
}

export interface RetryRequest extends RetryPlace {
  cause: RetryCause
  /** Sends made so far, hedges included. */
  sends: number
  deadlineAt: number
  /** Usual time of an exchange; a send that has less left is not made. */
  expectedMilliseconds: number
  /** 0 for the most important class. */
  classRank: number
  /** A crash suspect, which is not hedged. */
  isolated?: boolean
}

export interface DecideRetryOptions {
  budget: RetryBudget
  request: RetryRequest
  now: number
  random: () => number
}

const backoffBaseMilliseconds = 5
const maximumBackoffMilliseconds = 200

/** Whether every send of this request, from the first on, carries `siskinbeam-retried: 1`. */
export function carriesRetriedHeader ({ idempotent, retriedAbove, maximumAttempts }: RetryPlace): boolean {
  return retriedAbove || (idempotent && maximumAttempts > 1)
}

// The first resend after a non-start goes out at once, because another server may well be free.
// Later ones wait, so that shed requests do not circulate within a burst.
const backoffExponents: Record<RetryCause, (sends: number) => number> = {
  [RetryCause.NotStarted]: sends => sends - 2,
  [RetryCause.Failed]: sends => sends - 1,
  [RetryCause.Hedge]: () => -1
}

const computeDelay = ({ cause, sends }: RetryRequest, random: () => number): number => {
  const exponent = backoffExponents[cause](sends)
  return exponent < 0 ? 0 : random() * Math.min(maximumBackoffMilliseconds, backoffBaseMilliseconds * 2 ** exponent)
}

const rankRequest = ({ cause, classRank }: RetryRequest): TokenRank => {
  if (cause === RetryCause.Hedge) return 'byHedge'
  return classRank === 0 ? 'none' : 'byLessImportant'
}

const findObstacle = (request: RetryRequest): NoRetryReason | undefined => {
  if (request.sends >= request.maximumAttempts) return NoRetryReason.AttemptsUsed
  if (request.cause === RetryCause.NotStarted) return undefined
  if (!request.idempotent) return NoRetryReason.MayHaveStarted
  if (request.retriedAbove) return NoRetryReason.OtherLayerRetries
  return request.cause === RetryCause.Hedge && request.isolated === true ? NoRetryReason.Isolated : undefined
}

/** Decides on a further send and, if granted, takes it from the budget. A non-idempotent request that also failed after a send must not come here as `NotStarted`. */
export function decideRetry ({ budget, request, now, random }: DecideRetryOptions): RetryDecision {
  const obstacle = findObstacle(request)
  if (obstacle !== undefined) return { retries: false, reason: obstacle }
  const delayMilliseconds = computeDelay(request, random)
  if (now + delayMilliseconds + request.expectedMilliseconds > request.deadlineAt) return { retries: false, reason: NoRetryReason.DeadlineTooShort }
  if (!takeToken(budget, now, rankRequest(request))) return { retries: false, reason: NoRetryReason.BudgetUsed }
  return { retries: true, delayMilliseconds }
}
