// Nearest-rank percentiles.

/** Returns the nearest-rank percentile (0 to 100) of ascending numbers; NaN if there are none. */
export function computePercentile (sorted: ArrayLike<number>, percentile: number): number {
  return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * percentile / 100) - 1)] ?? Number.NaN
}
