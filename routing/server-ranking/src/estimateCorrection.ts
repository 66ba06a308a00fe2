// By how much answers of a service take longer than was estimated when they were sent. Under load the
// estimates are short, since several hosts choose the same server at once; the correction follows within
// some ten answers.
import { trackQuantile } from './trackQuantile.js'

export interface CorrectionState {
  factor: number
}

/** Most answers should come within the corrected estimate. */
const quantile = 0.7
const step = 0.08
const lowestFactor = 0.8
const highestFactor = 4

/** Starts without a correction. */
export function createCorrection (): CorrectionState {
  return { factor: 1 }
}

/** Takes note of an answer, or of a timeout with the time that passed until then. */
export function noteEstimate (state: CorrectionState, estimate: number, actual: number): void {
  const moved = trackQuantile({ estimate: state.factor, sample: actual / Math.max(1, estimate), quantile, step })
  state.factor = Math.min(highestFactor, Math.max(lowestFactor, moved))
}
