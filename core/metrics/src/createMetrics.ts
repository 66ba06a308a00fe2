// Counters, gauges and latency histograms of one process, rendered in the Prometheus text exposition format.
// Histograms use hdr-histogram-js and record microseconds with three significant digits.
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'

// The main module of hdr-histogram-js also loads its codecs and WebAssembly, which are not used and take 8 MB of memory.
const { default: Int32Histogram } = histogramModule
type Histogram = InstanceType<typeof Int32Histogram>

const maximumMicroseconds = 600_000_000
const significantDigits = 3

/** The metrics of one process. Metric names include their unit. */
export interface Metrics {
  count: (name: string, amount?: number) => void
  gauge: (name: string, read: () => number) => void
  recordMilliseconds: (name: string, milliseconds: number) => void
  readCounter: (name: string) => number
  readPercentileMilliseconds: (name: string, percentile: number) => number
  render: () => string
  /** Returns the values as an object, for the state dump. */
  snapshot: () => Record<string, number>
}

const percentiles = [50, 90, 99, 99.9]

/** Reads the resident memory of the process, for a gauge. */
export const readResidentMegabytes = (): number => Math.round(process.memoryUsage.rss() / 1_000_000)

/** Creates an empty set of metrics. */
export function createMetrics (): Metrics {
  const counters = new Map<string, number>()
  const gauges = new Map<string, () => number>()
  const histograms = new Map<string, Histogram>()

  const findOrCreateHistogram = (name: string): Histogram => {
    const existing = histograms.get(name)
    if (existing !== undefined) return existing
    const created = new Int32Histogram(1, maximumMicroseconds, significantDigits)
    histograms.set(name, created)
    return created
  }

  const readPercentile = (histogram: Histogram, at: number): number => histogram.getValueAtPercentile(at) / 1_000

  const snapshot = (): Record<string, number> => Object.fromEntries([
    ...counters,
    ...[...gauges].map(([name, read]): [string, number] => [name, read()]),
    ...[...histograms].flatMap(([name, histogram]): Array<[string, number]> => [
      ...percentiles.map((at): [string, number] => [`${name}{quantile="${Number((at / 100).toFixed(4))}"}`, readPercentile(histogram, at)]),
      [`${name}_count`, histogram.totalCount]
    ])
  ])

  return {
    count: (name, amount = 1) => { counters.set(name, (counters.get(name) ?? 0) + amount) },
    gauge: (name, read) => { gauges.set(name, read) },
    recordMilliseconds: (name, milliseconds) => {
      findOrCreateHistogram(name).recordValue(Math.min(Math.max(Math.round(milliseconds * 1_000), 1), maximumMicroseconds))
    },
    readCounter: name => counters.get(name) ?? 0,
    readPercentileMilliseconds: (name, at) => {
      const histogram = histograms.get(name)
      return histogram === undefined ? 0 : readPercentile(histogram, at)
    },
    render: () => Object.entries(snapshot()).map(([name, value]) => `siskinbeam_${name} ${value}\n`).join(''),
    snapshot
  }
}
