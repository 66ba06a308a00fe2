// Detects the overload of a service from the fraction of recent server selections whose best server was nearly
// saturated. A single saturated server among the probed ones is chance; only a majority of such selections is overload.

export interface OverloadState {
  nearlySaturatedRatio: number
}

/** Weight of the latest selection in the moving average. */
const selectionWeight = 0.1
const overloadedRatio = 0.5

/** Creates the state of one service, without overload. */
export function createOverloadState (): OverloadState {
  return { nearlySaturatedRatio: 0 }
}

/** Records a server selection. */
export function recordSelection (state: OverloadState, nearlySaturated: boolean): void {
  state.nearlySaturatedRatio += selectionWeight * ((nearlySaturated ? 1 : 0) - state.nearlySaturatedRatio)
}

/** Whether the best server was nearly saturated in most recent selections. */
export function isOverloaded (state: OverloadState): boolean {
  return state.nearlySaturatedRatio > overloadedRatio
}
