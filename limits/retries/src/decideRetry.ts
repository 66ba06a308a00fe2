// Decides whether a request is sent again: as a retry to another server after a refusal or a failure, or as
// a hedge while the first send has no response.
//
// Every retry and hedge counts against the budget, including retries after a shed. At 1.5 times capacity and
// limits of 8 to 12, admission control keeps the sheds at about 9 % of the sends (concurrencyLimit.ts in
// limits/admission), so the budget of 10 % normally covers them. When it is used up, a shed request is refused
// as not run, which costs the guest less than the service would lose by retries that circulate among saturated
// servers.
//
// Only one layer of a call tree retries requests that may have started: the topmost layer that is allowed
// to, which signals it by sending `siskinbeam-retried: 1` from its first send on. Without this rule, each
// layer could multiply the work of the layers below it, in a call tree of up to 22 layers. A retry of a request
// that provably did not start is exempt: at most one of the sends starts the request, so no work is
// multiplied. Refusing it would fail most deep call trees at a shed ratio of a few percent.
import { takeToken, type RetryBudget, type TokenPriority } from './retryBudget.js'

/** The reason for a retry or hedge. */
export enum RetryCause {
  /** The connection was refused before a byte was written, or the server returned 503 with `not-started`. */
  NotStarted = 'not-started',
  /** The connection failed, or the response was truncated, after the request was sent. */
  Failed = 'failed',
  /** The response is slow. The first send is not cancelled. */
  Hedge = 'hedge'
}

/** The reason why a request is not sent again. */
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

/** The properties of a request that decide which layer of a call tree retries it. */
export interface RetryLayerRequest {
  idempotent: boolean
  /** Whether the request arrived with `siskinbeam-retried: 1`. */
  retriedByCaller: boolean
  /** `retry.maximumAttempts` of the bundle, including the first send. */
  maximumAttempts: number
}

export interface RetryRequest extends RetryLayerRequest {
  cause: RetryCause
  /** Sends made so far, including hedges. */
  sends: number
  deadlineAt: number
  /** Expected duration of an exchange; a request with less time left is not sent again. */
  expectedMilliseconds: number
  /** 0 for the class with the highest priority. */
  classRank: number
  /** Whether the request is a crash suspect; suspects are not hedged. */
  isolated?: boolean
}

export interface DecideRetryOptions {
  budget: RetryBudget
  request: RetryRequest
  now: number
  random: () => number
}

const initialBackoffMilliseconds = 5
const maximumBackoffMilliseconds = 200

/** Whether every send of this request, from the first on, carries `siskinbeam-retried: 1`. */
export function carriesRetriedHeader ({ idempotent, retriedByCaller, maximumAttempts }: RetryLayerRequest): boolean {
  return retriedByCaller || (idempotent && maximumAttempts > 1)
}

// The first retry of a request that did not start is sent at once, because another server is probably free.
// Later retries back off, so that shed requests do not circulate among saturated servers during a burst.
const backoffExponents: Record<RetryCause, (sends: number) => number> = {
  [RetryCause.NotStarted]: sends => sends - 2,
  [RetryCause.Failed]: sends => sends - 1,
  [RetryCause.Hedge]: () => -1
}

const computeDelay = ({ cause, sends }: RetryRequest, random: () => number): number => {
  const exponent = backoffExponents[cause](sends)
  return exponent < 0 ? 0 : random() * Math.min(maximumBackoffMilliseconds, initialBackoffMilliseconds * 2 ** exponent)
}

const prioritizeRequest = ({ cause, classRank }: RetryRequest): TokenPriority => {
  if (cause === RetryCause.Hedge) return 'byHedge'
  return classRank === 0 ? 'none' : 'byLessImportant'
}

const findNoRetryReason = (request: RetryRequest): NoRetryReason | undefined => {
  if (request.sends >= request.maximumAttempts) return NoRetryReason.AttemptsUsed
  if (request.cause === RetryCause.NotStarted) return undefined
  if (!request.idempotent) return NoRetryReason.MayHaveStarted
  if (request.retriedByCaller) return NoRetryReason.OtherLayerRetries
  return request.cause === RetryCause.Hedge && request.isolated === true ? NoRetryReason.Isolated : undefined
}

/**
 * Decides whether a request is retried or hedged and, if so, takes a token from the budget. The cause of a
 * non-idempotent request of which any send may have started must not be `NotStarted`.
 */
export function decideRetry ({ budget, request, now, random }: DecideRetryOptions): RetryDecision {
  const noRetryReason = findNoRetryReason(request)
  if (noRetryReason !== undefined) return { retries: false, reason: noRetryReason }
  const delayMilliseconds = computeDelay(request, random)
  if (now + delayMilliseconds + request.expectedMilliseconds > request.deadlineAt) return { retries: false, reason: NoRetryReason.DeadlineTooShort }
  if (!takeToken(budget, now, prioritizeRequest(request))) return { retries: false, reason: NoRetryReason.BudgetUsed }
  return { retries: true, delayMilliseconds }
}
