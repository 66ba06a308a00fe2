// Follows a quantile of a positive quantity with one number: each sample moves the estimate up or down by a
// share that balances at the quantile.

export interface TrackQuantileOptions {
  estimate: number
  sample: number
  /** 0 to 1. */
  quantile: number
  /** Largest share by which one sample moves the estimate. */
  step: number
}

/** The estimate after one more sample. */
export function trackQuantile ({ estimate, sample, quantile, step }: TrackQuantileOptions): number {
  return estimate * (sample > estimate ? 1 + step * quantile : 1 - step * (1 - quantile))
}
