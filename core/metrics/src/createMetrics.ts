// Counters, gauges and latency histograms of one process, rendered as plain text in the Prometheus
// exposition format. Histograms are hdr-histogram-js, in microseconds with three significant digits.
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'

// The package's main module also loads its codecs and WebAssembly, 8 MB of a process that uses neither.
const { default: Int32Histogram } = histogramModule
type Histogram = InstanceType<typeof Int32Histogram>

const highestMicroseconds = 600_000_000
const significantDigits = 3

/** Metrics of one process. Names carry their unit. */
export interface Metrics {
  count: (name: string, amount?: number) => void
  gauge: (name: string, read: () => number) => void
  recordMilliseconds: (name: string, milliseconds: number) => void
  readCounter: (name: string) => number
  readPercentileMilliseconds: (name: string, percentile: number) => number
  render: () => string
  /** The values as an object, for the state dump. */
  snapshot: () => Record<string, number>
}

const percentiles = [50, 90, 99, 99.9]

/** Creates an empty set of metrics. */
export function createMetrics (): Metrics {
  const counters = new Map<string, number>()
  const gauges = new Map<string, () => number>()
  const histograms = new Map<string, Histogram>()

  const histogramOf = (name: string): Histogram => {
    const present = histograms.get(name)
    if (present !== undefined) return present
    const created = new Int32Histogram(1, highestMicroseconds, significantDigits)
    histograms.set(name, created)
    return created
  }

  const percentile = (histogram: Histogram, at: number): number => histogram.getValueAtPercentile(at) / 1_000

  const snapshot = (): Record<string, number> => Object.fromEntries([
    ...counters,
    ...[...gauges].map(([name, read]): [string, number] => [name, read()]),
    ...[...histograms].flatMap(([name, histogram]): Array<[string, number]> => [
      ...percentiles.map((at): [string, number] => [`${name}{quantile="${Number((at / 100).toFixed(4))}"}`, percentile(histogram, at)]),
      [`${name}_count`, histogram.totalCount]
    ])
  ])

  return {
    count: (name, amount = 1) => { counters.set(name, (counters.get(name) ?? 0) + amount) },
    gauge: (name, read) => { gauges.set(name, read) },
    recordMilliseconds: (name, milliseconds) => {
      histogramOf(name).recordValue(Math.min(Math.max(Math.round(milliseconds * 1_000), 1), highestMicroseconds))
    },
    readCounter: name => counters.get(name) ?? 0,
    readPercentileMilliseconds: (name, at) => {
      const histogram = histograms.get(name)
      return histogram === undefined ? 0 : percentile(histogram, at)
    },
    render: () => Object.entries(snapshot()).map(([name, value]) => `siskinbeam_${name} ${value}\n`).join(''),
    snapshot
  }
}
