// Estimates from responses how much longer requests take on nearly saturated servers of a service. Some servers
// slow down near saturation, so that using the last slot lowers their throughput; others do not.
import { trackQuantile } from './trackQuantile.js'

export interface SaturationState {
  /** Median response times as multiples of the route's expected service time, below and near saturation. */
  belowSaturation: number
  nearSaturation: number
}

/** Slot utilization above which a server counts as nearly saturated. */
const nearSaturationUtilization = 0.8
const medianStep = 0.1
const initialSlowdown = 1.3
const maximumSlowdown = 3

/** Creates a state with an assumed slowdown. */
export function createSaturationState (): SaturationState {
  return { belowSaturation: 1, nearSaturation: initialSlowdown }
}

/** Returns whether one more request would bring a server close to saturation. */
export function wouldBeNearSaturation (occupied: number, slots: number): boolean {
  return occupied + 1 > nearSaturationUtilization * slots
}

/** Updates the medians with a response: whether its server was nearly saturated, and its time as a multiple of the expected service time. */
export function recordResponseTime (state: SaturationState, nearlySaturated: boolean, multiple: number): void {
  const kind = nearlySaturated ? 'nearSaturation' : 'belowSaturation'
  state[kind] = trackQuantile({ estimate: state[kind], sample: multiple, quantile: 0.5, step: medianStep })
}

/** Returns the slowdown factor of nearly saturated servers, at least 1. */
export function computeSaturationSlowdown (state: SaturationState): number {
  return Math.min(maximumSlowdown, Math.max(1, state.nearSaturation / state.belowSaturation))
}
