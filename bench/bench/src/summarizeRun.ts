// Computes the record of a run from what guests saw, what servers ran, and what processes used.
import { existsSync } from 'node:fs'
import { build } from 'hdr-histogram-js'
import { callControl } from './cluster/callControl.js'
import { readAllMetrics } from './cluster/readAllMetrics.js'
import type { Cluster } from './cluster/startCluster.js'
import type { LoadResult } from './load/driveLoad.js'
import { classifyRequest, FinalEnd, SendEnd, type GuestRequest } from './load/invocation.js'
import { FindingKind } from '@siskinbeam/history-checker/historyTypes'
import { checkRunHistory, readCommittedClaims } from './checkRunHistory.js'
import { readRunLog } from './readRunLog.js'
import type { RunRecord } from './record.js'
import type { ProcessSample, RunExperimentOptions } from './runExperimentOptions.js'

export interface SummarizeRunOptions {
  options: RunExperimentOptions
  cluster: Cluster
  result: LoadResult
  /** Requests before the measured load; their runs are in the logs too. */
  warmup: GuestRequest[]
  idle: ProcessSample
  loaded: ProcessSample
  /** Metrics of all entry hosts before the measured load. */
  before: Map<string, number>
}

const mostFindingsPrinted = 10
const windowMilliseconds = 1_000
const probesPerSecondBudget = 200
const goodputDeadlineMilliseconds = 2_000

/** Computes the record. */
export async function summarizeRun ({ options, cluster, result, warmup, idle, loaded, before }: SummarizeRunOptions): Promise<RunRecord> {
  const { requests, direct } = result
  const directIds = new Set(direct.flatMap(({ sends }) => sends.map(({ requestId }) => requestId)))
  const runs = (existsSync(cluster.runLog) ? readRunLog(cluster.runLog) : []).filter(({ requestId }) => !directIds.has(requestId))
  const history = checkRunHistory({ requests: [...warmup, ...requests], runs, claims: await readCommittedClaims(cluster.plan.tableControl), disturbedAddresses: cluster.disturbedAddresses })
  history.findings.slice(0, mostFindingsPrinted).forEach(finding => process.stderr.write(`finding ${JSON.stringify(finding)}\n`))
  const after = await readAllMetrics(cluster)
  const grown = (name: string): number => (after.get(name) ?? 0) - (before.get(name) ?? 0)
  const answered = requests.filter(request => classifyRequest(request) === FinalEnd.Answered)
  const latencies = answered.map(readLatency)
  const idempotent = answered.filter(({ kind }) => kind.idempotent).map(readLatency)
  const outside = answered.map(readOutsideServer).filter(time => time !== undefined)
  const directOutside = direct.map(readOutsideServer).filter(time => time !== undefined)
  const count = (end: FinalEnd): number => requests.filter(request => classifyRequest(request) === end).length
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
    refusedNotRun: count(FinalEnd.RefusedNotRun),
    unknownOutcome: count(FinalEnd.Unknown),
    lostWithoutAccount: count(FinalEnd.LostWithoutAccount),
    ranTwice: history.counts[FindingKind.RanTwice],
    wrongAnswer: history.counts[FindingKind.WrongAnswer],
    findings: history.counts,
    p50Ms: readPercentile(latencies, 50),
    p99Ms: readPercentile(latencies, 99),
    p999Ms: readPercentile(latencies, 99.9),
    idempotentP50Ms: readPercentile(idempotent, 50),
    idempotentP99Ms: readPercentile(idempotent, 99),
    directP99Ms: readPercentile(directOutside, 99),
    addedP99Ms: round(readPercentile(outside, 99) - readPercentile(directOutside, 99)),
    addedP50Ms: round(readPercentile(outside, 50) - readPercentile(directOutside, 50)),
    probesPerRequest: round(grown('probes_total') / Math.max(1, requests.length)),
    probeBytesPerSecond: Math.round(grown('measuring_bytes_total') / options.seconds),
    probeBudgetExceeded: await countExceededWindows(cluster),
    controlCpuPercent: round(idle.busiestPercent),
    loadedCpuPercent: round(loaded.busiestPercent),
    residentMegabytes: round(loaded.residentMegabytes),
    serversFallen: cluster.servers.filter(({ process }) => !process.running()).length,
    invariantViolations: [...after].filter(([name]) => name.startsWith('invariant_violations_total')).reduce((sum, [, value]) => sum + value, 0),
    goodputPerSecond: countGoodput(requests, options.seconds)
  }
}

function readLatency ({ intendedAt, endedAt }: GuestRequest): number {
  return (endedAt ?? intendedAt) - intendedAt
}

// Time outside the server, for requests that one send answered.
function readOutsideServer ({ sends }: GuestRequest): number | undefined {
  const only = sends.length === 1 ? sends[0] : undefined
  if (only?.end !== SendEnd.Answered || only.serverMilliseconds === undefined) return undefined
  return only.endedAt - only.sentAt - only.serverMilliseconds
}

/** A percentile in milliseconds, through a histogram with three significant digits. */
export function readPercentile (milliseconds: number[], percentile: number): number {
  if (milliseconds.length === 0) return 0
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 })
  milliseconds.forEach(value => histogram.recordValue(Math.max(1, Math.round(value * 1_000))))
  return round(histogram.getValueAtPercentile(percentile) / 1_000)
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}

// Servers count the probes that reach them by the address of the entry host; the log of a server that
// died is lost with it.
async function countExceededWindows ({ servers }: Cluster): Promise<number> {
  const logs = await Promise.all(servers.map(({ planned }) => callControl(planned.controlAddress, 'GET', '/probes') as Promise<Record<string, number[]> | undefined>))
  const bySource = new Map<string, number[]>()
  logs.forEach(log => Object.entries(log ?? {}).forEach(([source, times]) => bySource.set(source, [...bySource.get(source) ?? [], ...times])))
  return [...bySource.values()].reduce((sum, times) => {
    const sorted = times.sort((first, second) => first - second)
    return sum + sorted.filter((time, position) => (sorted[position + probesPerSecondBudget] ?? Infinity) - time < windowMilliseconds).length
  }, 0)
}

function countGoodput (requests: GuestRequest[], seconds: number): number[] {
  const startedAt = requests.reduce((first, { intendedAt }) => Math.min(first, intendedAt), Infinity)
  const counts = Array.from({ length: Math.ceil(seconds) }, () => 0)
  requests.filter(request => classifyRequest(request) === FinalEnd.Answered && readLatency(request) <= goodputDeadlineMilliseconds).forEach(({ intendedAt }) => {
    const second = Math.min(counts.length - 1, Math.floor((intendedAt - startedAt) / 1_000))
    counts[second] = (counts[second] ?? 0) + 1
  })
  return counts
}
