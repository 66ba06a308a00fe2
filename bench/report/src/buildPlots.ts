// Builds the plots of a set of records. Runs that differ only in their seed or number of requests are
// one point, the median over them.
import type { EChartsOption, SeriesOption } from 'echarts'
import type { DrawnRecord } from './readRecords.js'

/** One plot: a title, what it is made of, and the option of echarts. */
export interface Plot {
  title: string
  note: string
  option: EChartsOption
}

interface Group<Key extends string | number> {
  key: Key
  records: DrawnRecord[]
}

/** Groups records in the order in which their keys appear. */
export function groupRecords<Key extends string | number> (records: DrawnRecord[], keyOf: (record: DrawnRecord) => Key): Array<Group<Key>> {
  return [...new Set(records.map(keyOf))].map(key => ({ key, records: records.filter(record => keyOf(record) === key) }))
}

/** Median of at least one value. */
export function computeMedian (values: number[]): number {
  const sorted = [...values].sort((first, second) => first - second)
  const middle = sorted.length / 2
  return ((sorted[Math.ceil(middle) - 1] ?? 0) + (sorted[Math.floor(middle)] ?? 0)) / 2
}

const percentiles: Array<{ name: string, read: (record: DrawnRecord) => number }> = [
  { name: 'p50', read: ({ p50Ms }) => p50Ms },
  { name: 'p99', read: ({ p99Ms }) => p99Ms },
  { name: 'p99.9', read: ({ p999Ms }) => p999Ms }
]

const medianOf = (records: DrawnRecord[], read: (record: DrawnRecord) => number): number => computeMedian(records.map(read))
const countRuns = (records: DrawnRecord[]): string => `${records.length} run${records.length === 1 ? '' : 's'}, medians over seeds`

/** Builds all plots of the records. */
export function buildPlots (records: DrawnRecord[]): Plot[] {
  return [
    ...groupRecords(records, ({ workload, load, fault }) => `${workload}, load ${load}, fault ${fault}`).map(buildPercentiles),
    ...groupRecords(records, ({ workload, fault }) => `${workload}, fault ${fault}`).map(buildLoads),
    ...groupRecords(records, ({ workload, load, fault }) => `${workload}, load ${load}, fault ${fault}`).map(buildProbes)
  ]
}

function buildPercentiles ({ key, records }: Group<string>): Plot {
  const policies = groupRecords(records, ({ policy }) => policy)
  return {
    title: `Latency percentiles by policy: ${key}`,
    note: countRuns(records),
    option: frame(
      { type: 'category', data: policies.map(policy => policy.key) },
      { type: 'value', name: 'latency in ms' },
      percentiles.map(({ name, read }): SeriesOption => ({ type: 'bar', name, data: policies.map(policy => medianOf(policy.records, read)), label: { show: true, position: 'top', fontSize: 9, formatter: ({ value }) => String(Math.round(Number(value))) } })))
  }
}

function buildLoads ({ key, records }: Group<string>): Plot {
  return {
    title: `p99 against load: ${key}`,
    note: countRuns(records),
    option: frame(
      { type: 'value', name: 'load as a share of capacity', scale: true },
      { type: 'value', name: 'p99 in ms' },
      groupRecords(records, ({ policy }) => policy).map(policy => ({
        type: 'line',
        name: policy.key,
        symbolSize: 7,
        data: groupRecords(policy.records, ({ load }) => load)
          .sort((first, second) => first.key - second.key)
          .map(({ key: load, records: runs }) => [load, medianOf(runs, ({ p99Ms }) => p99Ms)])
      })))
  }
}

// Each run is a point of its own here: the measured probes per request differ between runs.
function buildProbes ({ key, records }: Group<string>): Plot {
  return {
    title: `Probes per request against p99: ${key}`,
    note: `${records.length} run${records.length === 1 ? '' : 's'}, one point each`,
    option: frame(
      { type: 'value', name: 'probes per request' },
      { type: 'value', name: 'p99 in ms' },
      groupRecords(records, ({ policy }) => policy).map(policy => ({
        type: 'scatter',
        name: policy.key,
        symbolSize: 9,
        data: policy.records.map(({ probesPerRequest, p99Ms }) => [probesPerRequest, p99Ms])
      })))
  }
}

function frame (xAxis: EChartsOption['xAxis'], yAxis: EChartsOption['yAxis'], series: SeriesOption[]): EChartsOption {
  return {
    animation: false,
    legend: { top: 0 },
    grid: { left: 70, right: 30, top: 60, bottom: 50 },
    xAxis: { nameLocation: 'middle', nameGap: 30, axisLabel: { interval: 0 }, ...xAxis } as EChartsOption['xAxis'],
    yAxis,
    series
  }
}
