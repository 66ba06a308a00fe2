// Running latency percentile from an exponential histogram: each bucket is 10 % wider than the one before.
// Counts are halved periodically, so the estimate follows a change of the latency within a few thousand
// responses, in constant memory. The percentile is cached and recomputed only once per
// `samplesBetweenUpdates` samples, because it is read for every request.

const minimumLatencyMilliseconds = 0.1
const bucketGrowth = 1.1
// The last bucket starts at about 10 minutes, the maximum deadline.
const bucketCount = 165
const samplesBetweenUpdates = 64
const samplesBetweenHalvings = 2_048

/** Latency histogram of one service. `valueMilliseconds` is undefined until the first update. */
export interface LatencyPercentile {
  percentile: number
  counts: Float64Array
  total: number
  samples: number
  valueMilliseconds: number | undefined
}

/** Creates an empty histogram for a percentile in (0, 100). */
export function createLatencyPercentile (percentile: number): LatencyPercentile {
  return { percentile, counts: new Float64Array(bucketCount), total: 0, samples: 0, valueMilliseconds: undefined }
}

/** Adds a latency sample. */
export function addLatency (state: LatencyPercentile, milliseconds: number): void {
  const bucket = Math.floor(Math.log(Math.max(milliseconds, minimumLatencyMilliseconds) / minimumLatencyMilliseconds) / Math.log(bucketGrowth))
  const index = Math.min(bucketCount - 1, bucket)
  state.counts[index] = (state.counts[index] ?? 0) + 1
  state.total += 1
  state.samples += 1
  if (state.samples % samplesBetweenUpdates === 0) state.valueMilliseconds = computePercentile(state)
  if (state.samples % samplesBetweenHalvings !== 0) return
  state.counts.forEach((count, position) => { state.counts[position] = count / 2 })
  state.total /= 2
}

// Returns the upper bound of the bucket that contains the percentile, so the error is towards hedging too late.
function computePercentile ({ counts, total, percentile }: LatencyPercentile): number {
  let remaining = total * percentile / 100
  const index = counts.findIndex(count => {
    remaining -= count
    return remaining <= 0
  })
  return minimumLatencyMilliseconds * bucketGrowth ** ((index < 0 ? bucketCount - 1 : index) + 1)
}
