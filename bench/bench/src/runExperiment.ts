// One run: starts the system, drives load with faults, and computes the record.
import { createRandom } from '@siskinbeam/random/createRandom'
import type { BundleInput } from '@siskinbeam/schema/bundle'
import { readProcessorMilliseconds, readResidentMegabytes } from './cluster/observeProcesses.js'
import { readAllMetrics } from './cluster/readAllMetrics.js'
import { startCluster, type Cluster } from './cluster/startCluster.js'
import { injectFaults, scheduleFaults } from './faults/injectFaults.js'
import { createGuests } from './load/createGuests.js'
import { driveLoad, type LoadResult } from './load/driveLoad.js'
import type { GuestRequest } from './load/invocation.js'
import type { RunRecord } from './record.js'
import type { ProcessSample, RunExperimentOptions } from './runExperimentOptions.js'
import { summarizeRun } from './summarizeRun.js'

const warmupSeconds = 3
const idleMilliseconds = 3_000
const directShare = 0.05

/** Runs one experiment on a system of its own. */
export async function runExperiment (options: RunExperimentOptions): Promise<RunRecord> {
  const { workload, policy, seed, seconds, load, fault } = options
  const cluster = await startCluster({
    workload,
    policy,
    entryHosts: options.entryHosts,
    seed,
    ...(options.hedging === false ? { changeBundle: disableHedging } : {}),
    ...(options.probesPerRequest === undefined ? {} : { probesPerRequest: options.probesPerRequest })
  })
  try {
    const idle = await sampleProcesses(cluster, () => new Promise(resolve => setTimeout(resolve, idleMilliseconds)))
    const guests = createGuests({ bootstrapAddresses: cluster.plan.entryHosts.map(({ guestAddress }) => guestAddress), seed, runId: `${policy}-${seed}` })
    const serverAddresses = (service: string): string[] => cluster.plan.servers.filter(server => server.service.name === service).map(({ address }) => address)
    const drive = (forSeconds: number, loadAt: (at: number) => number, extraRequests: () => GuestRequest[]): Promise<LoadResult> => driveLoad({
      workload, guests, seed, seconds: forSeconds, loadAt, extraRequests, directShare, serverAddresses
    })
    const warmup = await drive(warmupSeconds, () => Math.min(load, 0.5), () => [])
    const random = createRandom(seed * 7 + 1)
    let loadFactor = 1
    const extra: GuestRequest[] = []
    const before = await readAllMetrics(cluster)
    let result: LoadResult = { requests: [], direct: [] }
    const loaded = await sampleProcesses(cluster, async () => {
      const faults = injectFaults(scheduleFaults(fault, seconds, random), {
        cluster,
        random,
        submit: request => extra.push(request),
        setLoadFactor: factor => { loadFactor = factor }
      })
      result = await drive(seconds, () => load * loadFactor, () => extra.splice(0))
      await faults
    })
    guests.close()
    return await summarizeRun({ options, cluster, result, warmup: warmup.requests, idle, loaded, before })
  } finally {
    await cluster.stop()
  }
}

function disableHedging (bundle: BundleInput): void {
  bundle.services.forEach(service => { service.hedging = { enabled: false } })
}

async function sampleProcesses ({ entryHosts }: Cluster, act: () => Promise<void>): Promise<ProcessSample> {
  const processIds = entryHosts.map(({ process }) => process.child.pid ?? 0)
  const before = processIds.map(readProcessorMilliseconds)
  const startedAt = performance.now()
  await act()
  const elapsed = performance.now() - startedAt
  const shares = processIds.map((processId, position) => (readProcessorMilliseconds(processId) - (before[position] ?? 0)) / elapsed * 100)
  return { busiestPercent: Math.max(...shares), residentMegabytes: Math.max(...processIds.map(readResidentMegabytes)) }
}
