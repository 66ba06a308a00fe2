// Bounds further sends as a share of first sends, per service at one entry host. Each first send
// deposits `budgetShare` of a token and each further send takes one. Per period of `floorPeriod`, a
// service with little traffic is topped up to one token's worth of deposits. In every run of n periods
// that started with t tokens, further sends are thus at most t + the sum of max(1, share * first sends).

const floorPeriodMilliseconds = 5_000
const floorTokensPerPeriod = 1
/** Bounds the burst of further sends after a quiet time; about two servers' requests in flight from one host. */
const maximumTokens = 10
/** What a further send leaves to others. Hedges are the first to go without, then the less important classes. */
const keptTokens = { none: 0, byLessImportant: 2, byHedge: 3 }

/** How a further send ranks when tokens are scarce. */
export type TokenRank = keyof typeof keptTokens

export interface RetryBudget {
  budgetShare: number
  tokens: number
  depositedInPeriod: number
  periodEndsAt: number
  firstSends: number
  furtherSends: number
}

export interface CreateRetryBudgetOptions {
  /** `retry.budgetShare` of the bundle. Zero allows no further send. */
  budgetShare: number
  now: number
}

/** Creates the budget of one service, with one token. */
export function createRetryBudget ({ budgetShare, now }: CreateRetryBudgetOptions): RetryBudget {
  return {
    budgetShare,
    tokens: budgetShare > 0 ? floorTokensPerPeriod : 0,
    depositedInPeriod: 0,
    periodEndsAt: now + floorPeriodMilliseconds,
    firstSends: 0,
    furtherSends: 0
  }
}

const deposit = (budget: RetryBudget, tokens: number): void => {
  budget.tokens = Math.min(maximumTokens, budget.tokens + tokens)
}

const closePeriod = (budget: RetryBudget, now: number): void => {
  if (now < budget.periodEndsAt) return
  if (budget.budgetShare > 0) deposit(budget, Math.max(0, floorTokensPerPeriod - budget.depositedInPeriod))
  budget.depositedInPeriod = 0
  budget.periodEndsAt = now + floorPeriodMilliseconds
}

/** Takes note of the first send of a request. */
export function recordFirstSend (budget: RetryBudget, now: number): void {
  closePeriod(budget, now)
  budget.firstSends += 1
  budget.depositedInPeriod += budget.budgetShare
  deposit(budget, budget.budgetShare)
}

/** Takes a token for a further send, if there is one. */
export function takeToken (budget: RetryBudget, now: number, rank: TokenRank): boolean {
  closePeriod(budget, now)
  // Deposits of 0.1 add up to slightly less than 1.
  const needed = 1 - 1e-9 + keptTokens[rank]
  if (budget.tokens < needed) return false
  budget.tokens = Math.max(0, budget.tokens - 1)
  budget.furtherSends += 1
  return true
}

/** Returns the token of a further send that was granted and not made, for example because the answer came during its delay. */
export function returnToken (budget: RetryBudget): void {
  budget.furtherSends -= 1
  deposit(budget, 1)
}
