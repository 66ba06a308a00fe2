// A running percentile of latency. Counts are kept in buckets whose bounds grow by a tenth, and are
// halved at intervals, so that a change of the latency shows within some thousand responses and memory
// is constant. The percentile is computed once in many samples, because it is read for every request.

const lowestMilliseconds = 0.1
const bucketGrowth = 1.1
// The last bucket begins at about 10 minutes, the longest deadline.
const bucketCount = 165
const samplesBetweenReadings = 64
const samplesBetweenHalvings = 2_048

/** Counts of one service. */
export interface LatencyPercentile {
  percentile: number
  counts: Float64Array
  total: number
  samples: number
  valueMilliseconds: number | undefined
}

/** Creates an empty estimate of a percentile in (0, 100). */
export function createLatencyPercentile (percentile: number): LatencyPercentile {
  return { percentile, counts: new Float64Array(bucketCount), total: 0, samples: 0, valueMilliseconds: undefined }
}

/** Adds one latency. */
export function addLatency (state: LatencyPercentile, milliseconds: number): void {
  const bucket = Math.floor(Math.log(Math.max(milliseconds, lowestMilliseconds) / lowestMilliseconds) / Math.log(bucketGrowth))
  const index = Math.min(bucketCount - 1, bucket)
  state.counts[index] = (state.counts[index] ?? 0) + 1
  state.total += 1
  state.samples += 1
  if (state.samples % samplesBetweenReadings === 0) state.valueMilliseconds = computePercentile(state)
  if (state.samples % samplesBetweenHalvings !== 0) return
  state.counts.forEach((count, position) => { state.counts[position] = count / 2 })
  state.total /= 2
}

// The upper bound of the bucket that holds the percentile, which errs towards hedging late.
function computePercentile ({ counts, total, percentile }: LatencyPercentile): number {
  let remaining = total * percentile / 100
  const index = counts.findIndex(count => {
    remaining -= count
    return remaining <= 0
  })
  return lowestMilliseconds * bucketGrowth ** ((index < 0 ? bucketCount - 1 : index) + 1)
}
