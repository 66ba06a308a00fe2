#!/usr/bin/env node
// Command line of the demonstration: `npm run demo` and `npm run demo -- --keep`.
import { performance } from 'node:perf_hooks'
import { Command } from 'commander'
import { fetchCommittedClaims } from '@siskinbeam/bench/checkRunHistory'
import { readRunLog } from '@siskinbeam/bench/readRunLog'
import { startCluster, type Cluster } from '@siskinbeam/bench/cluster/startCluster'
import { createGuests } from '@siskinbeam/bench/load/createGuests'
import { driveLoad } from '@siskinbeam/bench/load/driveLoad'
import { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import { fetchBundleVersions } from './bundleVersions.js'
import { performEvents, fetchCounters } from './demoEvents.js'
import { demoBundleName, demoEntryHostCount, demoWorkload } from './demoWorkload.js'
import { listExampleCommands } from './listExampleCommands.js'
import { isDemoPassed, renderSummary, summarizeDemo, type DemoSummary } from './summarizeDemo.js'

const seed = 1
const load = 0.4
/** Exceeds the duration of the events, which is about 20 s. */
const loadSeconds = 28
const leavingSeconds = 3
/** The demonstration is specified to end within 60 s. */
const timeLimitMilliseconds = 57_000

const startedAt = performance.now()
const report = (line: string): void => {
  process.stdout.write(`${((performance.now() - startedAt) / 1_000).toFixed(1).padStart(5)} s  ${line}\n`)
}

const { keep } = new Command('demo')
  .description('Starts a complete system on loopback, sends requests during faults and configuration changes, and checks the result of each')
  .option('--keep', 'keep the system running until SIGINT and print example commands', false)
  .parse()
  .opts<{ keep: boolean }>()

const timeLimit = setTimeout(() => {
  report(`timed out after ${timeLimitMilliseconds} ms without a result`)
  process.exit(1)
}, timeLimitMilliseconds)

const interruptedExitCode = 130
const runningClusters: Cluster[] = []
// The default action of a signal would end this process without stopping the child processes or deleting the logs.
const stopAndExit = (): void => {
  Promise.allSettled(runningClusters.map(({ stop }) => stop())).then(() => process.exit(interruptedExitCode)).catch(() => {})
}
process.once('SIGINT', stopAndExit)
process.once('SIGTERM', stopAndExit)

const cluster = await startCluster({
  workload: demoWorkload,
  policy: LoadBalancingPolicy.Ours,
  entryHosts: demoEntryHostCount,
  seed,
  leavingSeconds,
  modifyBundle: bundle => { bundle.name = demoBundleName }
})
runningClusters.push(cluster)
process.exitCode = 1
try {
  report(`${cluster.entryHosts.length} entry hosts in ${demoWorkload.dataCentres.length} data centres and ${cluster.servers.length} servers are running with signed bundle version 1`)
  const summary = await runDemonstration(cluster)
  process.stdout.write('\n' + renderSummary(summary))
  process.exitCode = isDemoPassed(summary) ? 0 : 1
  process.stdout.write(process.exitCode === 0 ? 'result: passed\n' : 'result: failed\n')
  clearTimeout(timeLimit)
  if (keep) await waitForInterrupt(cluster)
} finally {
  await cluster.stop()
}
clearTimeout(timeLimit)

async function runDemonstration (cluster: Cluster): Promise<DemoSummary> {
  const guests = createGuests({ bootstrapAddresses: cluster.plan.entryHosts.map(({ guestAddress }) => guestAddress), seed, runId: 'demo' })
  const [{ requests }, events] = await Promise.all([
    driveLoad({ workload: demoWorkload, guests, seed, seconds: loadSeconds, loadAt: () => load, directShare: 0, serverAddresses: () => [] }),
    performEvents(cluster, report)
  ])
  guests.close()
  return summarizeDemo({
    requests,
    runs: readRunLog(cluster.runLog),
    claims: await fetchCommittedClaims(cluster.plan.tableControl),
    disturbedAddresses: cluster.disturbedAddresses,
    events,
    counters: await Promise.all(cluster.entryHosts.filter(({ process }) => process.isRunning()).map(host => fetchCounters(cluster, host))),
    versions: await fetchBundleVersions(cluster)
  })
}

async function waitForInterrupt (cluster: Cluster): Promise<void> {
  process.stdout.write(`\nThe system keeps running until SIGINT (Ctrl-C). Example commands:\n\n${listExampleCommands(cluster).join('\n')}\n`)
  // A pending promise alone does not keep the process alive.
  const keepAliveTimer = setInterval(() => {}, 60_000)
  await new Promise<void>(resolve => ['SIGINT', 'SIGTERM'].forEach(signal => {
    process.removeListener(signal, stopAndExit)
    process.once(signal, () => resolve())
  }))
  clearInterval(keepAliveTimer)
  report('interrupted; stopping the system')
}
