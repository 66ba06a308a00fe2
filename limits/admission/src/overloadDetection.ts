// Detects the overload of a service from the fraction of recent server selections whose best server was nearly
// full. A single full server among the probed ones is chance; only a majority of such selections is overload.

export interface OverloadState {
  nearlyFullRatio: number
}

/** Weight of the latest selection in the moving average. */
const selectionWeight = 0.1
const overloadedRatio = 0.5

/** Creates the state of one service, without overload. */
export function createOverloadState (): OverloadState {
  return { nearlyFullRatio: 0 }
}

/** Records a server selection. */
export function recordSelection (state: OverloadState, nearlyFull: boolean): void {
  state.nearlyFullRatio += selectionWeight * ((nearlyFull ? 1 : 0) - state.nearlyFullRatio)
}

/** Whether the best server was nearly full in most recent selections. */
export function isOverloaded (state: OverloadState): boolean {
  return state.nearlyFullRatio > overloadedRatio
}
