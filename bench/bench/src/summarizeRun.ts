// Computes the record of a run from the requests of the guests, the run log of the servers, the metrics of the
// entry hosts and the resource usage of their processes.
import { existsSync } from 'node:fs'
import { build } from 'hdr-histogram-js'
import { sendJsonRequest } from './cluster/sendJsonRequest.js'
import { fetchClusterMetrics } from './cluster/fetchClusterMetrics.js'
import type { Cluster } from './cluster/startCluster.js'
import type { LoadResult } from './load/driveLoad.js'
import { classifyRequest, RequestResult, SendResult, type GuestRequest } from './load/guestRequest.js'
import { FindingKind } from '@siskinbeam/history-checker/historyTypes'
import { checkRunHistory, fetchCommittedClaims } from './checkRunHistory.js'
import { readRunLog } from './readRunLog.js'
import type { RunRecord } from './record.js'
import type { ProcessSample, RunExperimentOptions } from './runExperimentOptions.js'

export interface SummarizeRunOptions {
  options: RunExperimentOptions
  cluster: Cluster
  loadResult: LoadResult
  /** Requests sent before the measured load; the run log contains their executions too. */
  warmup: GuestRequest[]
  idleSample: ProcessSample
  loadedSample: ProcessSample
  /** Metrics summed over all entry hosts before the measured load. */
  metricsBefore: Map<string, number>
}

const maximumPrintedFindings = 10
const windowMilliseconds = 1_000
const probeBudgetPerSecond = 200
const goodputDeadlineMilliseconds = 2_000

/** Computes the record of a run. The history check includes the requests of the warm-up. */
export async function summarizeRun ({ options, cluster, loadResult, warmup, idleSample, loadedSample, metricsBefore }: SummarizeRunOptions): Promise<RunRecord> {
  const { requests, direct } = loadResult
  const directIds = new Set(direct.flatMap(({ sends }) => sends.map(({ requestId }) => requestId)))
  const runs = (existsSync(cluster.runLog) ? readRunLog(cluster.runLog) : []).filter(({ requestId }) => !directIds.has(requestId))
  const history = checkRunHistory({ requests: [...warmup, ...requests], runs, claims: await fetchCommittedClaims(cluster.plan.tableControl), disturbedAddresses: cluster.disturbedAddresses })
  history.findings.slice(0, maximumPrintedFindings).forEach(finding => process.stderr.write(`finding ${JSON.stringify(finding)}\n`))
  const metricsAfter = await fetchClusterMetrics(cluster)
  const computeIncrease = (name: string): number => (metricsAfter.get(name) ?? 0) - (metricsBefore.get(name) ?? 0)
  const answered = requests.filter(request => classifyRequest(request) === RequestResult.Answered)
  const latencies = answered.map(computeLatency)
  const idempotentLatencies = answered.filter(({ kind }) => kind.idempotent).map(computeLatency)
  const overheads = answered.map(computeOverhead).filter(time => time !== undefined)
  const directOverheads = direct.map(computeOverhead).filter(time => time !== undefined)
  const countResult = (result: RequestResult): number => requests.filter(request => classifyRequest(request) === result).length
  return {
    workload: options.workload.name,
    policy: options.policy,
    seed: options.seed,
    load: options.load,
    fault: options.fault,
    seconds: options.seconds,
    entryHosts: options.entryHosts,
    requests: requests.length,
    answered: answered.length,
    refusedNotRun: countResult(RequestResult.RefusedNotRun),
    unknownOutcome: countResult(RequestResult.Unknown),
    lostWithoutAccount: countResult(RequestResult.LostWithoutAccount),
    ranTwice: history.counts[FindingKind.RanTwice],
    wrongAnswer: history.counts[FindingKind.WrongAnswer],
    findings: history.counts,
    p50Ms: computePercentile(latencies, 50),
    p99Ms: computePercentile(latencies, 99),
    p999Ms: computePercentile(latencies, 99.9),
    idempotentP50Ms: computePercentile(idempotentLatencies, 50),
    idempotentP99Ms: computePercentile(idempotentLatencies, 99),
    directP99Ms: computePercentile(directOverheads, 99),
    addedP99Ms: round(computePercentile(overheads, 99) - computePercentile(directOverheads, 99)),
    addedP50Ms: round(computePercentile(overheads, 50) - computePercentile(directOverheads, 50)),
    probesPerRequest: round(computeIncrease('probes_total') / Math.max(1, requests.length)),
    probeBytesPerSecond: Math.round(computeIncrease('measuring_bytes_total') / options.seconds),
    probeBudgetExceeded: await countExceededWindows(cluster),
    controlCpuPercent: round(idleSample.maximumCpuPercent),
    loadedCpuPercent: round(loadedSample.maximumCpuPercent),
    residentMegabytes: round(loadedSample.residentMegabytes),
    serversFallen: cluster.servers.filter(({ process }) => !process.isRunning()).length,
    invariantViolations: [...metricsAfter].filter(([name]) => name.startsWith('invariant_violations_total')).reduce((sum, [, value]) => sum + value, 0),
    goodputPerSecond: countGoodput(requests, options.seconds)
  }
}

function computeLatency ({ intendedAt, endedAt }: GuestRequest): number {
  return (endedAt ?? intendedAt) - intendedAt
}

// Milliseconds spent outside the server. Defined only for requests that were answered by their only send.
function computeOverhead ({ sends }: GuestRequest): number | undefined {
  const onlySend = sends.length === 1 ? sends[0] : undefined
  if (onlySend?.result !== SendResult.Answered || onlySend.serverMilliseconds === undefined) return undefined
  return onlySend.endedAt - onlySend.sentAt - onlySend.serverMilliseconds
}

/** Computes a percentile in milliseconds from a histogram with three significant digits; 0 if there are no values. */
export function computePercentile (milliseconds: number[], percentile: number): number {
  if (milliseconds.length === 0) return 0
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 })
  milliseconds.forEach(value => histogram.recordValue(Math.max(1, Math.round(value * 1_000))))
  return round(histogram.getValueAtPercentile(percentile) / 1_000)
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}

// Counts the one-second windows in which an entry host exceeded the probe budget. Servers log the probes that
// they receive by the address of the entry host; the log of a server that exited is lost.
async function countExceededWindows ({ servers }: Cluster): Promise<number> {
  const logs = await Promise.all(servers.map(({ planned }) => sendJsonRequest(planned.controlAddress, 'GET', '/probes') as Promise<Record<string, number[]> | undefined>))
  const bySource = new Map<string, number[]>()
  logs.forEach(log => Object.entries(log ?? {}).forEach(([source, times]) => bySource.set(source, [...bySource.get(source) ?? [], ...times])))
  return [...bySource.values()].reduce((sum, times) => {
    const sorted = times.sort((first, second) => first - second)
    return sum + sorted.filter((time, position) => (sorted[position + probeBudgetPerSecond] ?? Infinity) - time < windowMilliseconds).length
  }, 0)
}

function countGoodput (requests: GuestRequest[], seconds: number): number[] {
  const startedAt = requests.reduce((first, { intendedAt }) => Math.min(first, intendedAt), Infinity)
  const counts = Array.from({ length: Math.ceil(seconds) }, () => 0)
  requests.filter(request => classifyRequest(request) === RequestResult.Answered && computeLatency(request) <= goodputDeadlineMilliseconds).forEach(({ intendedAt }) => {
    const second = Math.min(counts.length - 1, Math.floor((intendedAt - startedAt) / 1_000))
    counts[second] = (counts[second] ?? 0) + 1
  })
  return counts
}
