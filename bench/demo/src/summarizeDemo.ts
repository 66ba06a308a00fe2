// Summarizes a demonstration: the result of each request, from the records of the guests and the run log of the
// servers.
import { FindingKind, type CommittedClaim } from '@siskinbeam/history-checker/historyTypes'
import { checkRunHistory } from '@siskinbeam/bench/checkRunHistory'
import { classifyRequest, RequestResult, SendResult, type GuestRequest } from '@siskinbeam/bench/load/guestRequest'
import { computePercentile } from '@siskinbeam/bench/summarizeRun'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { RunRecord as ServerRun } from '@siskinbeam/stand-in-server/startServer'
import type { HostVersion } from './bundleVersions.js'
import type { EventResults, HostCounters } from './demoEvents.js'

/** Results of a demonstration. */
export interface DemoSummary {
  sent: number
  answered: number
  /** Number of requests that ended with an error response, by the name of its result code and its outcome. */
  refused: Record<string, number>
  ranTwice: number
  wrongAnswer: number
  lost: number
  p50Ms: number
  p99Ms: number
  probes: number
  violations: number
  rolloutMilliseconds: number | undefined
  stoppedExitCode: number | null
  versions: HostVersion[]
}

export interface SummarizeDemoOptions {
  requests: GuestRequest[]
  runs: ServerRun[]
  claims: CommittedClaim[]
  /** Guest addresses of the entry hosts that the demonstration stopped. */
  disturbedAddresses: ReadonlySet<string>
  events: EventResults
  counters: HostCounters[]
  versions: HostVersion[]
}

export const expectedVersion = 2

/** Computes the results of a demonstration. */
export function summarizeDemo ({ requests, runs, claims, disturbedAddresses, events, counters, versions }: SummarizeDemoOptions): DemoSummary {
  const { counts } = checkRunHistory({ requests, runs, claims, disturbedAddresses })
  const classified = requests.map(request => ({ request, result: classifyRequest(request) }))
  const answered = classified.filter(({ result }) => result === RequestResult.Answered)
  const latencies = answered.map(({ request: { endedAt, intendedAt } }) => (endedAt ?? intendedAt) - intendedAt)
  const allCounters = [...counters, events.stoppedCounters]
  return {
    sent: requests.length,
    answered: answered.length,
    refused: countRefusalReasons(classified.filter(({ result }) => result === RequestResult.RefusedNotRun || result === RequestResult.Unknown).map(({ request }) => request)),
    ranTwice: counts[FindingKind.RanTwice],
    wrongAnswer: counts[FindingKind.WrongAnswer],
    lost: classified.filter(({ result }) => result === RequestResult.LostWithoutAccount).length,
    p50Ms: computePercentile(latencies, 50),
    p99Ms: computePercentile(latencies, 99),
    probes: allCounters.reduce((sum, { probes }) => sum + probes, 0),
    violations: allCounters.reduce((sum, { violations }) => sum + violations, 0),
    rolloutMilliseconds: events.rolloutMilliseconds,
    stoppedExitCode: events.stoppedExitCode,
    versions
  }
}

/** Whether no request was lost, none ran twice, no response was wrong, and the second bundle is in force on every entry host. */
export function isDemoPassed ({ lost, ranTwice, wrongAnswer, versions }: DemoSummary): boolean {
  return lost + ranTwice + wrongAnswer === 0 && versions.length > 0 && versions.every(({ version }) => version === expectedVersion)
}

/** Renders the results as a table. */
export function renderSummary (summary: DemoSummary): string {
  const reasons = Object.entries(summary.refused)
  const rows: Array<[string, string]> = [
    ['sent', String(summary.sent)],
    ['answered', String(summary.answered)],
    ['refused with reason', String(reasons.reduce((sum, [, count]) => sum + count, 0))],
    ...reasons.map(([name, count]): [string, string] => [`  ${name}`, String(count)]),
    ['run twice', String(summary.ranTwice)],
    ['lost', String(summary.lost)],
    ['wrong answer', String(summary.wrongAnswer)],
    ['p50 ms', summary.p50Ms.toFixed(1)],
    ['p99 ms', summary.p99Ms.toFixed(1)],
    ['probes', String(summary.probes)],
    ['invariant violations', String(summary.violations)],
    ['rollout ms', String(summary.rolloutMilliseconds ?? 'not in force everywhere')],
    ...summary.versions.map(({ host, version }): [string, string] => [`bundle on ${host}`, version === null ? 'none' : `version ${version}`])
  ]
  const width = Math.max(...rows.map(([name]) => name.length)) + 2
  return rows.map(([name, value]) => name.padEnd(width) + value).join('\n') + '\n'
}

function countRefusalReasons (requests: GuestRequest[]): Record<string, number> {
  return requests.reduce<Record<string, number>>((counts, { sends }) => {
    const last = sends.filter(({ result }) => result === SendResult.ErrorResponse).at(-1)
    const name = `${ResultCode[last?.code ?? 0] ?? 'no code'} (${last?.outcome ?? 'unknown'})`
    return { ...counts, [name]: (counts[name] ?? 0) + 1 }
  }, {})
}
