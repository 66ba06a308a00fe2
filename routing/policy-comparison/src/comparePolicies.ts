// Simulates a scenario with several variants and the same seeds. Arrivals, work and noise use separate random
// streams, so all variants are subject to the same ones.
import { createRandom, drawExponential, drawLognormal, pickIndex } from '@siskinbeam/random/createRandom'
import type { MeasuringBudget } from '@siskinbeam/measuring-budget/takeMeasuringBudget'
import { createVirtualTime } from './eventQueue.js'
import { computePercentile } from './computePercentile.js'
import { entryHostCount, meanServiceTimeMilliseconds, stragglerFactor, serviceTimeSigma, type Scenario, type Variant } from './scenario.js'
import { deriveStreamSeed } from './deriveStreamSeed.js'
import { createSimulatedHost, type SimulatedHost, type SimulationCounts } from './simulatedHost.js'
import { createSimulatedServer, meanSpeed, type SimulatedServer } from './simulatedServer.js'

/** The default measuring budget of the bundle. */
const budget: MeasuringBudget = { messagesPerSecond: 200, bytesPerSecond: 100_000, coreShare: 0.018 }
// Reports, percentiles and ejections need a few seconds to reach a steady state.
const warmUpMilliseconds = 4_000
const millisecondsPerSecond = 1_000

export interface RunResult extends SimulationCounts {
  requests: number
  /** Latencies in milliseconds of requests that arrived after the warm-up, sorted. */
  latencies: Float64Array
}

export interface RunSimulationOptions {
  scenario: Scenario
  variant: Variant
  seed: number
  seconds: number
}

/** Simulates one variant for `seconds` of virtual time after the warm-up. */
export function runSimulation ({ scenario, variant, seed, seconds }: RunSimulationOptions): RunResult {
  const time = createVirtualTime()
  const end = warmUpMilliseconds + seconds * millisecondsPerSecond
  const counts: SimulationCounts = { probes: 0, shares: 0, sheds: 0, hedges: 0, failed: 0, ejections: 0 }
  const latencies: number[] = []
  const servers = createServers(scenario, seed, time)
  const assigned = new Map<string, number>()
  const hosts = Array.from({ length: entryHostCount }, (_, index) => createSimulatedHost({
    time,
    random: createRandom(deriveStreamSeed(seed, 2_000 + index)),
    name: `entry-${index}`,
    scenario,
    variant,
    servers,
    budget,
    counts,
    assigned,
    record: (milliseconds, arrivedAt) => { if (arrivedAt >= warmUpMilliseconds) latencies.push(milliseconds) }
  }))
  connectPeers(hosts, scenario.dataCentres)
  const requests = startArrivals({ hosts, scenario, seed, end, time })
  time.runUntil(end + 2 * millisecondsPerSecond)
  return { ...counts, requests: requests(), latencies: Float64Array.from(latencies).sort() }
}

function createServers (scenario: Scenario, seed: number, time: ReturnType<typeof createVirtualTime>): Map<string, SimulatedServer> {
  return new Map(Array.from({ length: scenario.servers }, (_, index) => {
    const isStraggler = scenario.stragglerEvery > 0 && index % scenario.stragglerEvery === 0 && index + scenario.stragglerEvery <= scenario.servers
    const server = createSimulatedServer({
      time,
      random: createRandom(deriveStreamSeed(seed, 1_000 + index)),
      name: `server-${index}`,
      slots: scenario.slots,
      queueLimit: scenario.queueLimit,
      slowFactor: isStraggler ? stragglerFactor : 1
    })
    return [server.name, server]
  }))
}

function connectPeers (hosts: SimulatedHost[], dataCentres: number): void {
  const byName = new Map(hosts.map(host => [host.name, host]))
  hosts.forEach((host, index) => {
    const peers = hosts.filter((peer, position) => peer !== host && position % dataCentres === index % dataCentres).map(({ name }) => name)
    host.start(peers, (peer, reports) => byName.get(peer)?.receiveReports(reports))
  })
}

interface StartArrivalsOptions {
  hosts: SimulatedHost[]
  scenario: Scenario
  seed: number
  end: number
  time: ReturnType<typeof createVirtualTime>
}

function startArrivals ({ hosts, scenario, seed, end, time }: StartArrivalsOptions): () => number {
  const random = createRandom(deriveStreamSeed(seed, 1))
  const meanInterarrivalMilliseconds = meanServiceTimeMilliseconds / (scenario.load * scenario.servers * scenario.slots * meanSpeed)
  let requests = 0
  const arrive = (): void => {
    if (time.now > end) return
    requests += 1
    const host = hosts[pickIndex(random, hosts.length)] as SimulatedHost
    host.handleRequest(drawLognormal(random, meanServiceTimeMilliseconds, serviceTimeSigma))
    time.schedule(drawExponential(random, meanInterarrivalMilliseconds), arrive)
  }
  time.schedule(drawExponential(random, meanInterarrivalMilliseconds), arrive)
  return () => requests
}

export interface ComparePoliciesOptions {
  scenario: Scenario
  variants: Variant[]
  seeds: number[]
  seconds: number
}

export interface ComparisonRow extends SimulationCounts {
  scenario: string
  variant: string
  requests: number
  mean: number
  p50: number
  p90: number
  p99: number
  p999: number
  /** The p99 of each run, in the order of the seeds. */
  p99OfSeeds: number[]
}

/** Compares variants. Mean and percentiles are in milliseconds over the combined requests of all seeds. */
export function comparePolicies ({ scenario, variants, seeds, seconds }: ComparePoliciesOptions): ComparisonRow[] {
  return variants.map(variant => {
    const runs = seeds.map(seed => runSimulation({ scenario, variant, seed, seconds }))
    const latencies = Float64Array.from(runs.flatMap(run => [...run.latencies])).sort()
    const sum = (key: keyof SimulationCounts | 'requests'): number => runs.reduce((total, run) => total + run[key], 0)
    return {
      scenario: scenario.name,
      variant: variant.name,
      requests: sum('requests'),
      probes: sum('probes'),
      shares: sum('shares'),
      sheds: sum('sheds'),
      hedges: sum('hedges'),
      failed: sum('failed'),
      ejections: sum('ejections'),
      mean: latencies.reduce((total, latency) => total + latency, 0) / latencies.length,
      p50: computePercentile(latencies, 50),
      p90: computePercentile(latencies, 90),
      p99: computePercentile(latencies, 99),
      p999: computePercentile(latencies, 99.9),
      p99OfSeeds: runs.map(run => computePercentile(run.latencies, 99))
    }
  })
}
