// How much longer work takes on servers of a service that are nearly full, learnt from answers. Some
// servers slow down then, so that filling the last slot lowers what they get done; others do not.
import { trackQuantile } from './trackQuantile.js'

export interface FullnessState {
  /** Medians of the time of an answer as a multiple of the route's usual time. */
  free: number
  full: number
}

/** Share of its slots from which on a server may count as nearly full. */
const nearlyFullShare = 0.8
const step = 0.1
const assumedFactor = 1.3
const highestFactor = 3

/** Starts with an assumption. */
export function createFullness (): FullnessState {
  return { free: 1, full: assumedFactor }
}

/** Whether a server with this many requests would be nearly full with one more. */
export function wouldBeNearlyFull (occupied: number, slots: number): boolean {
  return occupied + 1 > nearlyFullShare * slots
}

/** Takes note of an answer: whether its server was nearly full, and its time as a multiple of the usual. */
export function noteAnswerTime (state: FullnessState, nearlyFull: boolean, multiple: number): void {
  const kind = nearlyFull ? 'full' : 'free'
  state[kind] = trackQuantile({ estimate: state[kind], sample: multiple, quantile: 0.5, step })
}

/** The factor, at least 1. */
export function readFullnessFactor (state: FullnessState): number {
  return Math.min(highestFactor, Math.max(1, state.full / state.free))
}
