// The events of the demonstration, while guests send requests: a server is killed and restarted, another one is
// drained, an entry host is replaced, and a second bundle is rolled out.
import { sendJsonRequest } from '@siskinbeam/bench/cluster/sendJsonRequest'
import { fetchMetrics } from '@siskinbeam/bench/cluster/observeProcesses'
import type { Cluster, RunningEntryHostProcess, RunningServerProcess } from '@siskinbeam/bench/cluster/startCluster'
import { makeWorkloadBundle } from '@siskinbeam/bench/workload'
import { waitForBundleVersion } from './bundleVersions.js'
import { demoBundleName, demoEntryHostCount, demoWorkload } from './demoWorkload.js'

/** Metrics of an entry host. */
export interface HostCounters {
  probes: number
  violations: number
}

/** Results of the events. */
export interface EventResults {
  /** Milliseconds from the rollout until the second bundle was in force on every entry host; undefined if the limit passed first. */
  rolloutMilliseconds: number | undefined
  /** Metrics of the entry host that was stopped. */
  stoppedCounters: HostCounters
  /** Exit code of the entry host that was stopped; null if it had to be killed. */
  stoppedExitCode: number | null
}

/** Prints a line on the progress of the demonstration. */
export type ReportProgress = (line: string) => void

const restartMilliseconds = 1_500
const drainMilliseconds = 2_000
const serverStopTimeoutMilliseconds = 8_000
const entryHostStopTimeoutMilliseconds = 12_000
const pauseMilliseconds = 1_500
/** Invariant 7 requires a rollout to be complete within 5 s. The limit is longer, so that the demonstration can report by how much a rollout exceeds that time. */
const rolloutLimitMilliseconds = 10_000
const secondBundleProbesPerRequest = 0.2

const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))

/** Runs all events in sequence. Throws if a server of the demonstration is missing. */
export async function performEvents (cluster: Cluster, report: ReportProgress): Promise<EventResults> {
  await wait(pauseMilliseconds)
  await killServer(cluster, findServer(cluster, 'issuer-2'), report)
  await wait(pauseMilliseconds)
  await drainServer(cluster, findServer(cluster, 'permit-desk-1'), report)
  await wait(pauseMilliseconds)
  const stopped = await replaceEntryHost(cluster, report)
  await wait(pauseMilliseconds)
  const rolloutMilliseconds = await rollOutSecondBundle(cluster, report)
  await wait(pauseMilliseconds)
  return { ...stopped, rolloutMilliseconds }
}

/** Fetches the metrics of an entry host; zeros if it can't be reached. */
export async function fetchCounters (cluster: Cluster, { planned }: RunningEntryHostProcess): Promise<HostCounters> {
  const metrics = await fetchMetrics(planned.metricsAddress, cluster.operatorKey)
  const violations = [...metrics].filter(([name]) => name.startsWith('invariant_violations_total'))
  return { probes: metrics.get('probes_total') ?? 0, violations: violations.reduce((sum, [, value]) => sum + value, 0) }
}

function findServer ({ servers }: Cluster, name: string): RunningServerProcess {
  const found = servers.find(({ planned }) => planned.name === name)
  if (found === undefined) throw new Error(`server ${name} is missing from the demonstration workload`)
  return found
}

async function killServer (cluster: Cluster, server: RunningServerProcess, report: ReportProgress): Promise<void> {
  server.process.kill('SIGKILL')
  await server.process.exited
  report(`server ${server.planned.name} killed`)
  await wait(restartMilliseconds)
  await cluster.restartServer(server)
  report(`server ${server.planned.name} restarted`)
}

async function drainServer (cluster: Cluster, server: RunningServerProcess, report: ReportProgress): Promise<void> {
  const { name, controlAddress } = server.planned
  await sendJsonRequest(controlAddress, 'POST', '/control', { drain: true })
  report(`server ${name} drains`)
  await wait(drainMilliseconds)
  await server.process.stop(serverStopTimeoutMilliseconds)
  report(`server ${name} stopped`)
  await cluster.restartServer(server)
  report(`server ${name} restarted`)
}

async function replaceEntryHost (cluster: Cluster, report: ReportProgress): Promise<Omit<EventResults, 'rolloutMilliseconds'>> {
  const leaving = cluster.entryHosts[1] as RunningEntryHostProcess
  const { name, peerAddress, dataCentre } = leaving.planned
  await sendJsonRequest(cluster.plan.hostListControl, 'POST', '/hosts', [{ name, role: 'entry', address: peerAddress, dataCentre, state: 'leaving' }])
  const started = cluster.startEntryHost(demoEntryHostCount)
  report(`entry host ${name} leaves`)
  // The metrics are unavailable after the stop, so the few probes sent while leaving are not counted.
  const stoppedCounters = await fetchCounters(cluster, leaving)
  await leaving.process.stop(entryHostStopTimeoutMilliseconds)
  const stoppedExitCode = await leaving.process.exited
  report(`entry host ${name} stopped with exit code ${stoppedExitCode}`)
  report(`entry host ${(await started).planned.name} started as its replacement`)
  return { stoppedCounters, stoppedExitCode }
}

async function rollOutSecondBundle (cluster: Cluster, report: ReportProgress): Promise<number | undefined> {
  const bundle = makeWorkloadBundle({
    workload: demoWorkload,
    policy: cluster.policy,
    version: 2,
    previousDigest: cluster.operators.getHead().digest,
    addressOf: (service, position) => cluster.plan.servers.find(server => server.service.name === service && server.position === position)?.address ?? '',
    probesPerRequest: secondBundleProbesPerRequest
  })
  bundle.name = demoBundleName
  await cluster.operators.rollOut(bundle)
  report('bundle version 2 rolled out')
  const elapsed = await waitForBundleVersion(cluster, 2, rolloutLimitMilliseconds)
  report(elapsed === undefined
    ? `bundle version 2 is not in force on every entry host after ${rolloutLimitMilliseconds} ms`
    : `bundle version 2 in force on every entry host after ${elapsed} ms`)
  return elapsed
}
