// Percentiles of sorted numbers.

/** The smallest number that is not below the percentile given, 0 to 100; NaN if there are none. */
export function readPercentile (sorted: ArrayLike<number>, percentile: number): number {
  return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * percentile / 100) - 1)] ?? Number.NaN
}
