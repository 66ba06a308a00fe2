// Builds the plots of a set of records. Runs that differ only in seed or number of requests are plotted as one point,
// at their median, except in the plots of probes per request.
import type { EChartsOption, SeriesOption } from 'echarts'
import type { PlottedRecord } from './parseRecords.js'

/** A plot: its title, a caption that states how many runs it shows, and its ECharts option. */
export interface Plot {
  title: string
  caption: string
  option: EChartsOption
}

interface Group<Key extends string | number> {
  key: Key
  records: PlottedRecord[]
}

/** Groups records by key, in the order in which the keys first occur. */
export function groupRecords<Key extends string | number> (records: PlottedRecord[], getKey: (record: PlottedRecord) => Key): Array<Group<Key>> {
  return [...new Set(records.map(getKey))].map(key => ({ key, records: records.filter(record => getKey(record) === key) }))
}

/** Computes the median of at least one value. */
export function computeMedian (values: number[]): number {
  const sorted = [...values].sort((first, second) => first - second)
  const middle = sorted.length / 2
  return ((sorted[Math.ceil(middle) - 1] ?? 0) + (sorted[Math.floor(middle)] ?? 0)) / 2
}

const percentileSeries: Array<{ name: string, getValue: (record: PlottedRecord) => number }> = [
  { name: 'p50', getValue: ({ p50Ms }) => p50Ms },
  { name: 'p99', getValue: ({ p99Ms }) => p99Ms },
  { name: 'p99.9', getValue: ({ p999Ms }) => p999Ms }
]

const computeMedianOf = (records: PlottedRecord[], getValue: (record: PlottedRecord) => number): number => computeMedian(records.map(getValue))
const describeRuns = (records: PlottedRecord[]): string => `${records.length} run${records.length === 1 ? '' : 's'}, medians over seeds`

/** Builds the plots of the records. */
export function buildPlots (records: PlottedRecord[]): Plot[] {
  return [
    ...groupRecords(records, ({ workload, load, fault }) => `${workload}, load ${load}, fault ${fault}`).map(buildPercentilePlot),
    ...groupRecords(records, ({ workload, fault }) => `${workload}, fault ${fault}`).map(buildLoadPlot),
    ...groupRecords(records, ({ workload, load, fault }) => `${workload}, load ${load}, fault ${fault}`).map(buildProbePlot)
  ]
}

function buildPercentilePlot ({ key, records }: Group<string>): Plot {
  const policies = groupRecords(records, ({ policy }) => policy)
  return {
    title: `Latency percentiles by policy: ${key}`,
    caption: describeRuns(records),
    option: createChartOption(
      { type: 'category', data: policies.map(policy => policy.key) },
      { type: 'value', name: 'latency in ms' },
      percentileSeries.map(({ name, getValue }): SeriesOption => ({ type: 'bar', name, data: policies.map(policy => computeMedianOf(policy.records, getValue)), label: { show: true, position: 'top', fontSize: 9, formatter: ({ value }) => String(Math.round(Number(value))) } })))
  }
}

function buildLoadPlot ({ key, records }: Group<string>): Plot {
  return {
    title: `p99 against load: ${key}`,
    caption: describeRuns(records),
    option: createChartOption(
      { type: 'value', name: 'load as a share of capacity', scale: true },
      { type: 'value', name: 'p99 in ms' },
      groupRecords(records, ({ policy }) => policy).map(policy => ({
        type: 'line',
        name: policy.key,
        symbolSize: 7,
        data: groupRecords(policy.records, ({ load }) => load)
          .sort((first, second) => first.key - second.key)
          .map(({ key: load, records: runs }) => [load, computeMedianOf(runs, ({ p99Ms }) => p99Ms)])
      })))
  }
}

// Runs are plotted as separate points, since the measured probes per request differ between them.
function buildProbePlot ({ key, records }: Group<string>): Plot {
  return {
    title: `Probes per request against p99: ${key}`,
    caption: `${records.length} run${records.length === 1 ? '' : 's'}, one point each`,
    option: createChartOption(
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

function createChartOption (xAxis: EChartsOption['xAxis'], yAxis: EChartsOption['yAxis'], series: SeriesOption[]): EChartsOption {
  return {
    animation: false,
    legend: { top: 0 },
    grid: { left: 70, right: 30, top: 60, bottom: 50 },
    xAxis: { nameLocation: 'middle', nameGap: 30, axisLabel: { interval: 0 }, ...xAxis } as EChartsOption['xAxis'],
    yAxis,
    series
  }
}
