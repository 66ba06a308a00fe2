// One host's share of the retry budget that all hosts have together. In each window, sends beyond the
// first of a request may be a share of the first sends plus a fixed number over all hosts. Each host
// keeps to the share of its own first sends plus its part of the fixed number, so no host has to ask
// another, and the sum over the hosts holds in every sliding window.

export interface RetryShareRule {
  /** Further sends for each first send. */
  ratio: number
  /** Further sends in a window that this host may make beyond the ratio. */
  fixedSends: number
  windowMilliseconds: number
}

/** What a further send is for. Hedges leave some room, since repeats after a failure matter more. */
export enum FurtherSend {
  Retry = 'retry',
  Hedge = 'hedge'
}

export interface RetryShareState {
  /** Times of the sends of the last window, ascending. */
  firstSends: number[]
  furtherSends: number[]
}

/** Part of the allowance that a purpose may use. */
const usableShare: Record<FurtherSend, number> = { [FurtherSend.Retry]: 1, [FurtherSend.Hedge]: 0.8 }

/** Creates the state for one service. */
export function createRetryShare (): RetryShareState {
  return { firstSends: [], furtherSends: [] }
}

/** Takes note of the first send of a request. */
export function noteFirstSend (state: RetryShareState, now: number): void {
  state.firstSends.push(now)
}

/** Books a further send if the allowance has room for it. */
export function takeFurtherSend (state: RetryShareState, rule: RetryShareRule, purpose: FurtherSend, now: number): boolean {
  forget(state, now - rule.windowMilliseconds)
  const allowed = (state.firstSends.length * rule.ratio + rule.fixedSends) * usableShare[purpose]
  if (state.furtherSends.length + 1 > allowed) return false
  state.furtherSends.push(now)
  return true
}

function forget (state: RetryShareState, before: number): void {
  const expired = (times: number[]): number => {
    const kept = times.findIndex(time => time >= before)
    return kept === -1 ? times.length : kept
  }
  state.firstSends.splice(0, expired(state.firstSends))
  state.furtherSends.splice(0, expired(state.furtherSends))
}
