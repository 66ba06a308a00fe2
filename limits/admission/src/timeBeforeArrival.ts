// Estimates how long a guest had been trying when its request arrived. A guest that returns after a refusal states only the
// time that it has left, so a timeout below the usual one of a route tells when its first attempt was. The usual timeout is
// the most frequent one; guests that wait longer than others do not make the others look like returning ones.

export interface TimeoutCounts {
  /** Number of recent requests by their stated timeout in milliseconds. */
  counts: Map<number, number>
  total: number
  usual: number | undefined
}

/** Counts are halved at this number of requests, so that a changed timeout is learnt. */
const maximumTotal = 256
/** Without a timeout that is this frequent, guests choose their timeouts freely, and no conclusion is drawn. */
const minimumUsualRatio = 0.3
/** Smaller differences are travel times. */
const toleranceMilliseconds = 50

/** Creates the state of one route. */
export function createTimeoutCounts (): TimeoutCounts {
  return { counts: new Map(), total: 0, usual: undefined }
}

/** Records the timeout stated by a request and returns the estimated milliseconds since the guest's first attempt. */
export function recordTimeout (state: TimeoutCounts, milliseconds: number): number {
  state.counts.set(milliseconds, readCount(state, milliseconds) + 1)
  state.total += 1
  if (state.usual === undefined || readCount(state, milliseconds) > readCount(state, state.usual)) state.usual = milliseconds
  if (state.total >= maximumTotal) halveCounts(state)
  const isUsualKnown = readCount(state, state.usual) >= minimumUsualRatio * state.total
  const elapsed = state.usual - milliseconds
  return isUsualKnown && elapsed > toleranceMilliseconds ? elapsed : 0
}

function readCount ({ counts }: TimeoutCounts, milliseconds: number): number {
  return counts.get(milliseconds) ?? 0
}

function halveCounts (state: TimeoutCounts): void {
  const halved = [...state.counts].map(([milliseconds, count]): [number, number] => [milliseconds, Math.floor(count / 2)]).filter(([, count]) => count > 0)
  state.counts = new Map(halved)
  state.total = halved.reduce((sum, [, count]) => sum + count, 0)
}
