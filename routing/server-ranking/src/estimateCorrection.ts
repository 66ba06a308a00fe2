// Tracks the ratio of actual to estimated completion time for a service. Estimates are too low under load,
// because several hosts choose the same server at the same time. The correction adapts within about ten responses.
import { trackQuantile } from './trackQuantile.js'

export interface CorrectionState {
  factor: number
}

/** The corrected estimate should cover this ratio of the responses. */
const targetQuantile = 0.7
const correctionStep = 0.08
const minimumFactor = 0.8
const maximumFactor = 4

/** Creates a state without correction (factor 1). */
export function createCorrectionState (): CorrectionState {
  return { factor: 1 }
}

/** Updates the correction with the estimated and actual time of a response in milliseconds; for a timeout, the time until the timeout. */
export function updateCorrection (state: CorrectionState, estimate: number, actual: number): void {
  const updated = trackQuantile({ estimate: state.factor, sample: actual / Math.max(1, estimate), quantile: targetQuantile, step: correctionStep })
  state.factor = Math.min(maximumFactor, Math.max(minimumFactor, updated))
}
