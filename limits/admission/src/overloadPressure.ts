// Whether a service is short of room: the share of the latest choices whose best server was nearly full. A
// single full server among those that were asked is chance; nearly all of them are overload.

export interface PressureState {
  share: number
}

/** Weight of the latest choice. */
const latestWeight = 0.1
const overloadedShare = 0.5

/** Starts without pressure. */
export function createPressure (): PressureState {
  return { share: 0 }
}

/** Takes note of a choice. */
export function noteChoice (state: PressureState, nearlyFull: boolean): void {
  state.share += latestWeight * ((nearlyFull ? 1 : 0) - state.share)
}

/** Whether most choices find nearly full servers only. */
export function isOverloaded (state: PressureState): boolean {
  return state.share > overloadedShare
}
