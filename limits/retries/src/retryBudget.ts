// Token bucket that limits further sends (retries and hedges) to a fraction of the first sends, per service at
// one entry host. Each first send deposits `budgetShare` of a token, and each further send takes one token. If
// the deposits of a period are less than one token, they are topped up to one, so that a service with little
// traffic can retry. Over n periods that start with t tokens, the further sends are therefore at most t plus
// the sum of max(1, budgetShare * first sends) over the periods.

const periodMilliseconds = 5_000
const minimumTokensPerPeriod = 1
/** Limits the burst of further sends after a quiet time. About the requests that one host has in flight to two servers. */
const maximumTokens = 10
/** Tokens that must remain after a further send. Hedges are denied first, then retries of classes with a lower priority. */
const reservedTokens = { none: 0, byLessImportant: 2, byHedge: 3 }

/** The priority of a further send when tokens are scarce. */
export type TokenPriority = keyof typeof reservedTokens

export interface RetryBudget {
  budgetShare: number
  tokens: number
  depositedInPeriod: number
  periodEndsAt: number
  firstSends: number
  furtherSends: number
}

export interface CreateRetryBudgetOptions {
  /** `retry.budgetShare` of the bundle. With 0, no further send is allowed. */
  budgetShare: number
  now: number
}

/** Creates the budget of one service, with one token. */
export function createRetryBudget ({ budgetShare, now }: CreateRetryBudgetOptions): RetryBudget {
  return {
    budgetShare,
    tokens: budgetShare > 0 ? minimumTokensPerPeriod : 0,
    depositedInPeriod: 0,
    periodEndsAt: now + periodMilliseconds,
    firstSends: 0,
    furtherSends: 0
  }
}

const deposit = (budget: RetryBudget, tokens: number): void => {
  budget.tokens = Math.min(maximumTokens, budget.tokens + tokens)
}

const topUpAfterPeriod = (budget: RetryBudget, now: number): void => {
  if (now < budget.periodEndsAt) return
  if (budget.budgetShare > 0) deposit(budget, Math.max(0, minimumTokensPerPeriod - budget.depositedInPeriod))
  budget.depositedInPeriod = 0
  budget.periodEndsAt = now + periodMilliseconds
}

/** Records the first send of a request and deposits its fraction of a token. */
export function recordFirstSend (budget: RetryBudget, now: number): void {
  topUpAfterPeriod(budget, now)
  budget.firstSends += 1
  budget.depositedInPeriod += budget.budgetShare
  deposit(budget, budget.budgetShare)
}

/** Takes a token for a further send; returns false if none is available at this priority. */
export function takeToken (budget: RetryBudget, now: number, priority: TokenPriority): boolean {
  topUpAfterPeriod(budget, now)
  // Ten deposits of 0.1 sum to slightly less than 1 in floating point.
  const requiredTokens = 1 - 1e-9 + reservedTokens[priority]
  if (budget.tokens < requiredTokens) return false
  budget.tokens = Math.max(0, budget.tokens - 1)
  budget.furtherSends += 1
  return true
}

/** Returns the token of a further send that was granted but not made, for example because a response came during its delay. */
export function returnToken (budget: RetryBudget): void {
  budget.furtherSends -= 1
  deposit(budget, 1)
}
