#!/usr/bin/env node
// The command line of the demonstration: `npm run demo` and `npm run demo -- --keep`.
import { performance } from 'node:perf_hooks'
import { Command } from 'commander'
import { readCommittedClaims } from '@siskinbeam/bench/checkRunHistory'
import { readRunLog } from '@siskinbeam/bench/readRunLog'
import { startCluster, type Cluster } from '@siskinbeam/bench/cluster/startCluster'
import { createGuests } from '@siskinbeam/bench/load/createGuests'
import { driveLoad } from '@siskinbeam/bench/load/driveLoad'
import { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import { readVersions } from './bundleVersions.js'
import { performEvents, readCounters } from './demoEvents.js'
import { demoBundleName, demoEntryHosts, demoWorkload } from './demoWorkload.js'
import { listTrials } from './listTrials.js'
import { isDemoPassed, renderSummary, summarizeDemo, type DemoSummary } from './summarizeDemo.js'

const seed = 1
const load = 0.4
/** The events take about 20 s; the load outlasts them. */
const loadSeconds = 28
const leavingSeconds = 3
/** The demonstration promises to end within 60 s. */
const timeLimitMilliseconds = 57_000

const startedAt = performance.now()
const report = (line: string): void => {
  process.stdout.write(`${((performance.now() - startedAt) / 1_000).toFixed(1).padStart(5)} s  ${line}\n`)
}

const { keep } = new Command('demo')
  .description('Starts the whole path on loopback, sends requests through faults and changes, and checks what became of each')
  .option('--keep', 'leave the system running until SIGINT and print command lines to try', false)
  .parse()
  .opts<{ keep: boolean }>()

const timeLimit = setTimeout(() => {
  report(`stopped after ${timeLimitMilliseconds} ms without a result`)
  process.exit(1)
}, timeLimitMilliseconds)

const interruptedExitCode = 130
const running: Cluster[] = []
// A signal that ended this process by default would leave the other processes and the logs behind.
const endEarly = (): void => {
  Promise.allSettled(running.map(({ stop }) => stop())).then(() => process.exit(interruptedExitCode)).catch(() => {})
}
process.once('SIGINT', endEarly)
process.once('SIGTERM', endEarly)

const cluster = await startCluster({
  workload: demoWorkload,
  policy: LoadBalancingPolicy.Ours,
  entryHosts: demoEntryHosts,
  seed,
  leavingSeconds,
  changeBundle: bundle => { bundle.name = demoBundleName }
})
running.push(cluster)
process.exitCode = 1
try {
  report(`${cluster.entryHosts.length} entry hosts in ${demoWorkload.dataCentres.length} data centres and ${cluster.servers.length} servers run with signed bundle version 1`)
  const summary = await demonstrate(cluster)
  process.stdout.write('\n' + renderSummary(summary))
  process.exitCode = isDemoPassed(summary) ? 0 : 1
  process.stdout.write(process.exitCode === 0 ? 'result: passed\n' : 'result: failed\n')
  clearTimeout(timeLimit)
  if (keep) await waitForInterrupt(cluster)
} finally {
  await cluster.stop()
}
clearTimeout(timeLimit)

async function demonstrate (cluster: Cluster): Promise<DemoSummary> {
  const guests = createGuests({ bootstrapAddresses: cluster.plan.entryHosts.map(({ guestAddress }) => guestAddress), seed, runId: 'demo' })
  const [{ requests }, events] = await Promise.all([
    driveLoad({ workload: demoWorkload, guests, seed, seconds: loadSeconds, loadAt: () => load, directShare: 0, serverAddresses: () => [] }),
    performEvents(cluster, report)
  ])
  guests.close()
  return summarizeDemo({
    requests,
    runs: readRunLog(cluster.runLog),
    claims: await readCommittedClaims(cluster.plan.tableControl),
    disturbedAddresses: cluster.disturbedAddresses,
    events,
    counters: await Promise.all(cluster.entryHosts.filter(({ process }) => process.running()).map(host => readCounters(cluster, host))),
    versions: await readVersions(cluster)
  })
}

async function waitForInterrupt (cluster: Cluster): Promise<void> {
  process.stdout.write(`\nThe system keeps running until SIGINT (Ctrl-C). Command lines to try:\n\n${listTrials(cluster).join('\n')}\n`)
  // The pending promise alone would not keep the process alive.
  const alive = setInterval(() => {}, 60_000)
  await new Promise<void>(resolve => ['SIGINT', 'SIGTERM'].forEach(signal => {
    process.removeListener(signal, endEarly)
    process.once(signal, () => resolve())
  }))
  clearInterval(alive)
  report('interrupted, the system stops')
}
