// Online quantile estimation for a positive quantity with a single stored value: each sample raises or lowers the
// estimate by a relative step, and the steps balance at the quantile.

export interface TrackQuantileOptions {
  estimate: number
  sample: number
  /** The quantile to estimate, 0 to 1. */
  quantile: number
  /** Maximum relative change of the estimate per sample. */
  step: number
}

/** Returns the estimate updated with one sample. */
export function trackQuantile ({ estimate, sample, quantile, step }: TrackQuantileOptions): number {
  return estimate * (sample > estimate ? 1 + step * quantile : 1 - step * (1 - quantile))
}
