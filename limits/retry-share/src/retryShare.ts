// One host's share of a retry budget that applies to all hosts together. In each sliding window, the further
// sends (retries and hedges) of all hosts may be at most a ratio of their first sends plus a fixed number. Each
// host limits itself to the ratio of its own first sends plus its share of the fixed number, so that the sum
// over all hosts stays within the budget in every sliding window without coordination.

export interface RetryShareRule {
  /** Further sends per first send. */
  ratio: number
  /** Further sends per window that this host may make in addition to the ratio. */
  fixedSends: number
  windowMilliseconds: number
}

/** The purpose of a further send. Hedges may use only part of the budget, since retries after a failure have priority. */
export enum FurtherSendPurpose {
  Retry = 'retry',
  Hedge = 'hedge'
}

export interface RetryShareState {
  /** Times of the sends in the last window in milliseconds, ascending. */
  firstSends: number[]
  furtherSends: number[]
}

/** Fraction of the budget that may be used for a purpose. */
const usableRatio: Record<FurtherSendPurpose, number> = { [FurtherSendPurpose.Retry]: 1, [FurtherSendPurpose.Hedge]: 0.8 }

/** Creates the state of one service. */
export function createRetryShare (): RetryShareState {
  return { firstSends: [], furtherSends: [] }
}

/** Records the first send of a request. */
export function recordFirstSend (state: RetryShareState, now: number): void {
  state.firstSends.push(now)
}

/** Records a further send; returns false and records nothing if it would exceed the budget. */
export function takeFurtherSend (state: RetryShareState, rule: RetryShareRule, purpose: FurtherSendPurpose, now: number): boolean {
  removeExpired(state, now - rule.windowMilliseconds)
  const allowed = (state.firstSends.length * rule.ratio + rule.fixedSends) * usableRatio[purpose]
  if (state.furtherSends.length + 1 > allowed) return false
  state.furtherSends.push(now)
  return true
}

function removeExpired (state: RetryShareState, before: number): void {
  const countExpired = (times: number[]): number => {
    const firstUnexpired = times.findIndex(time => time >= before)
    return firstUnexpired === -1 ? times.length : firstUnexpired
  }
  state.firstSends.splice(0, countExpired(state.firstSends))
  state.furtherSends.splice(0, countExpired(state.furtherSends))
}
