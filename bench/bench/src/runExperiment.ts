// Runs one experiment: starts the system, generates load while injecting faults, and computes the record.
import { createRandom } from '@siskinbeam/random/createRandom'
import type { BundleInput } from '@siskinbeam/schema/bundle'
import { readProcessorMilliseconds, readResidentMegabytes } from './cluster/observeProcesses.js'
import { fetchClusterMetrics } from './cluster/fetchClusterMetrics.js'
import { startCluster, type Cluster } from './cluster/startCluster.js'
import { injectFaults, scheduleFaults } from './faults/injectFaults.js'
import { createGuests } from './load/createGuests.js'
import { driveLoad, type LoadResult } from './load/driveLoad.js'
import type { GuestRequest } from './load/guestRequest.js'
import type { RunRecord } from './record.js'
import type { ProcessSample, RunExperimentOptions } from './runExperimentOptions.js'
import { summarizeRun } from './summarizeRun.js'

const warmupSeconds = 3
const idleMilliseconds = 3_000
const directShare = 0.05

/** Runs one experiment on a newly started system, which is stopped at the end. Rejects if the system does not start. */
export async function runExperiment (options: RunExperimentOptions): Promise<RunRecord> {
  const { workload, policy, seed, seconds, load, fault } = options
  const cluster = await startCluster({
    workload,
    policy,
    entryHosts: options.entryHosts,
    seed,
    ...(options.hedging === false ? { modifyBundle: disableHedging } : {}),
    ...(options.probesPerRequest === undefined ? {} : { probesPerRequest: options.probesPerRequest })
  })
  try {
    const idleSample = await sampleProcesses(cluster, () => new Promise(resolve => setTimeout(resolve, idleMilliseconds)))
    const guests = createGuests({ bootstrapAddresses: cluster.plan.entryHosts.map(({ guestAddress }) => guestAddress), seed, runId: `${policy}-${seed}` })
    const serverAddresses = (service: string): string[] => cluster.plan.servers.filter(server => server.service.name === service).map(({ address }) => address)
    const generateLoad = (durationSeconds: number, loadAt: (atSeconds: number) => number, extraRequests: () => GuestRequest[]): Promise<LoadResult> => driveLoad({
      workload, guests, seed, seconds: durationSeconds, loadAt, extraRequests, directShare, serverAddresses
    })
    const warmup = await generateLoad(warmupSeconds, () => Math.min(load, 0.5), () => [])
    const random = createRandom(seed * 7 + 1)
    let loadFactor = 1
    const extraRequests: GuestRequest[] = []
    const metricsBefore = await fetchClusterMetrics(cluster)
    let loadResult: LoadResult = { requests: [], direct: [] }
    const loadedSample = await sampleProcesses(cluster, async () => {
      const faults = injectFaults(scheduleFaults(fault, seconds, random), {
        cluster,
        random,
        submit: request => extraRequests.push(request),
        setLoadFactor: factor => { loadFactor = factor }
      })
      loadResult = await generateLoad(seconds, () => load * loadFactor, () => extraRequests.splice(0))
      await faults
    })
    guests.close()
    return await summarizeRun({ options, cluster, loadResult, warmup: warmup.requests, idleSample, loadedSample, metricsBefore })
  } finally {
    await cluster.stop()
  }
}

function disableHedging (bundle: BundleInput): void {
  bundle.services.forEach(service => { service.hedging = { enabled: false } })
}

async function sampleProcesses ({ entryHosts }: Cluster, action: () => Promise<void>): Promise<ProcessSample> {
  const processIds = entryHosts.map(({ process }) => process.child.pid ?? 0)
  const before = processIds.map(readProcessorMilliseconds)
  const startedAt = performance.now()
  await action()
  const elapsed = performance.now() - startedAt
  const cpuPercents = processIds.map((processId, position) => (readProcessorMilliseconds(processId) - (before[position] ?? 0)) / elapsed * 100)
  return { maximumCpuPercent: Math.max(...cpuPercents), residentMegabytes: Math.max(...processIds.map(readResidentMegabytes)) }
}
