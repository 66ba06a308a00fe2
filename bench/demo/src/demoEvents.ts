// What happens to the system while guests send requests: one server is killed and started again, one
// is drained, one entry host is replaced, and a second bundle is rolled out.
import { callControl } from '@siskinbeam/bench/cluster/callControl'
import { readMetrics } from '@siskinbeam/bench/cluster/observeProcesses'
import type { Cluster, RunningEntryProcess, RunningServerProcess } from '@siskinbeam/bench/cluster/startCluster'
import { makeWorkloadBundle } from '@siskinbeam/bench/workload'
import { waitForVersion } from './bundleVersions.js'
import { demoBundleName, demoEntryHosts, demoWorkload } from './demoWorkload.js'

/** Counters that are read from entry hosts, the stopped one included. */
export interface HostCounters {
  probes: number
  violations: number
}

/** What the events left to report. */
export interface EventFindings {
  /** Milliseconds from the rollout until every entry host had the second bundle; undefined if one had not. */
  rolloutMilliseconds: number | undefined
  /** Counters of the entry host that was stopped. */
  stoppedCounters: HostCounters
  /** Exit code of the entry host that was stopped; null if it had to be killed. */
  stoppedExitCode: number | null
}

export type Report = (line: string) => void

const restartMilliseconds = 1_500
const drainMilliseconds = 2_000
const serverGraceMilliseconds = 8_000
const entryHostGraceMilliseconds = 12_000
const pauseMilliseconds = 1_500
/** Invariant 7 allows 5 s; the demonstration waits longer in order to report how late a host was. */
const rolloutLimitMilliseconds = 10_000
const secondProbesPerRequest = 0.2

const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))

/** Carries out all events, one after the other. */
export async function performEvents (cluster: Cluster, report: Report): Promise<EventFindings> {
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

/** Reads the counters of one entry host. */
export async function readCounters (cluster: Cluster, { planned }: RunningEntryProcess): Promise<HostCounters> {
  const metrics = await readMetrics(planned.metricsAddress, cluster.operatorKey)
  const violations = [...metrics].filter(([name]) => name.startsWith('invariant_violations_total'))
  return { probes: metrics.get('probes_total') ?? 0, violations: violations.reduce((sum, [, value]) => sum + value, 0) }
}

function findServer ({ servers }: Cluster, name: string): RunningServerProcess {
  const found = servers.find(({ planned }) => planned.name === name)
  if (found === undefined) throw new Error(`the demonstration has no server ${name}`)
  return found
}

async function killServer (cluster: Cluster, server: RunningServerProcess, report: Report): Promise<void> {
  server.process.kill('SIGKILL')
  await server.process.exited
  report(`server ${server.planned.name} killed`)
  await wait(restartMilliseconds)
  await cluster.restartServer(server)
  report(`server ${server.planned.name} started again`)
}

async function drainServer (cluster: Cluster, server: RunningServerProcess, report: Report): Promise<void> {
  const { name, controlAddress } = server.planned
  await callControl(controlAddress, 'POST', '/control', { drain: true })
  report(`server ${name} drains`)
  await wait(drainMilliseconds)
  await server.process.stop(serverGraceMilliseconds)
  report(`server ${name} stopped`)
  await cluster.restartServer(server)
  report(`server ${name} started again`)
}

async function replaceEntryHost (cluster: Cluster, report: Report): Promise<Omit<EventFindings, 'rolloutMilliseconds'>> {
  const leaving = cluster.entryHosts[1] as RunningEntryProcess
  const { name, peerAddress, dataCentre } = leaving.planned
  await callControl(cluster.plan.hostListControl, 'POST', '/hosts', [{ name, role: 'entry', address: peerAddress, dataCentre, state: 'leaving' }])
  const started = cluster.startEntryHost(demoEntryHosts)
  report(`entry host ${name} leaves`)
  // Read before the stop; the few probes of the time of leaving are not counted.
  const stoppedCounters = await readCounters(cluster, leaving)
  await leaving.process.stop(entryHostGraceMilliseconds)
  const stoppedExitCode = await leaving.process.exited
  report(`entry host ${name} stopped with exit code ${stoppedExitCode}`)
  report(`entry host ${(await started).planned.name} started in its place`)
  return { stoppedCounters, stoppedExitCode }
}

async function rollOutSecondBundle (cluster: Cluster, report: Report): Promise<number | undefined> {
  const bundle = makeWorkloadBundle({
    workload: demoWorkload,
    policy: cluster.policy,
    version: 2,
    previousDigest: cluster.operators.head().digest,
    addressOf: (service, position) => cluster.plan.servers.find(server => server.service.name === service && server.position === position)?.address ?? '',
    probesPerRequest: secondProbesPerRequest
  })
  bundle.name = demoBundleName
  await cluster.operators.rollOut(bundle)
  report('bundle version 2 rolled out')
  const elapsed = await waitForVersion(cluster, 2, rolloutLimitMilliseconds)
  report(elapsed === undefined
    ? `bundle version 2 is not in force on every entry host after ${rolloutLimitMilliseconds} ms`
    : `bundle version 2 in force on every entry host after ${elapsed} ms`)
  return elapsed
}
