// Detects the overload of a service from the fraction of recent server selections whose best server was nearly
// full. A single full server among the probed ones is chance; only a majority of such selections is overload.

export interface PressureState {
  share: number
}

/** Weight of the latest selection in the moving average. */
const selectionWeight = 0.1
const overloadedRatio = 0.5

/** Creates the state of one service, without overload. */
export function createPressure (): PressureState {
  return { share: 0 }
}

/** Records a server selection. */
export function noteChoice (state: PressureState, nearlyFull: boolean): void {
  state.share += selectionWeight * ((nearlyFull ? 1 : 0) - state.share)
}

/** Whether the best server was nearly full in most recent selections. */
export function isOverloaded (state: PressureState): boolean {
  return state.share > overloadedRatio
}
