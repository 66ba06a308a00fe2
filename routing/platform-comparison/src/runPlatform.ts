// Runs a scenario under one policy. Arrivals, work and paces are drawn from
// streams of their own, so that every policy meets the same ones.
import { createVirtualTime, type VirtualTime } from '@siskinbeam/policy-comparison/eventQueue'
import { computePercentile } from '@siskinbeam/policy-comparison/computePercentile'
import { deriveStreamSeed } from '@siskinbeam/policy-comparison/deriveStreamSeed'
import { createRandom, drawExponential, drawLognormal, pickIndex } from '@siskinbeam/random/createRandom'
import { createPlatformHost, RequestOutcome, type SimulatedRequest } from './platformHost.js'
import type { PlatformPolicy, PlatformScenario } from './platformScenario.js'
import { createPlatformServer, type PlatformServer } from './platformServer.js'

/** Estimates settle within some ten answers of each kind on each host. */
const warmUpMilliseconds = 10_000
/** Requests of the last moments get this time to end. */
const settleMilliseconds = 4_000
const workSigma = 0.3
const lateCreditShare = 0.1

export interface RunPlatformOptions {
  scenario: PlatformScenario
  policy: PlatformPolicy
  seed: number
  seconds: number
}

export interface PlatformRow {
  scenario: string
  policy: PlatformPolicy
  requests: number
  /** Credit earned as a share of the credit owed. */
  credit: number
  /** Share of the requests that were answered by their deadline. */
  served: number
  refused: number
  p50Milliseconds: number
  p99Milliseconds: number
  queriesPerRequest: number
}

/** Simulates one policy for `seconds` after the warm-up. */
export function runPlatform ({ scenario, policy, seed, seconds }: RunPlatformOptions): PlatformRow {
  const time = createVirtualTime()
  const end = warmUpMilliseconds + seconds * 1_000
  const serversOf = new Map(scenario.services.map((service, position) => [service.name, createServers(scenario, position, seed, time)]))
  const latencies: number[] = []
  const sums = { requests: 0, owed: 0, earned: 0, refused: 0, questions: 0 }
  const hosts = Array.from({ length: scenario.hosts }, (_, index) => createPlatformHost({
    time, random: createRandom(deriveStreamSeed(seed, 2_000 + index)), dataCentre: index % scenario.dataCentres, scenario, policy, serversOf, onLoadQuery: () => { if (isWithinMeasurement()) sums.questions += 1 }
  }))
  const isWithinMeasurement = (): boolean => time.now >= warmUpMilliseconds && time.now <= end

  const startArrivals = (position: number): void => {
    const kind = scenario.kinds[position]
    if (kind === undefined) return
    const random = createRandom(deriveStreamSeed(seed, 1 + position))
    const meanInterarrivalMilliseconds = 1_000 / (kind.perSecond * scenario.load)
    const arrive = (): void => {
      if (time.now > end) return
      const arrivedAt = time.now
      const isCounted = isWithinMeasurement()
      const recordOutcome = (outcome: RequestOutcome): void => {
        if (!isCounted) return
        sums.requests += 1
        sums.owed += kind.worth
        if (outcome === RequestOutcome.Refused) sums.refused += 1
        if (outcome !== RequestOutcome.Answered) return
        latencies.push(time.now - arrivedAt)
        sums.earned += time.now - arrivedAt <= kind.targetLatencyMilliseconds ? kind.worth : kind.worth * lateCreditShare
      }
      const request: SimulatedRequest = { kind, workMilliseconds: drawLognormal(random, kind.workMilliseconds, workSigma), onEnd: recordOutcome }
      hosts[pickIndex(random, hosts.length)]?.(request)
      time.schedule(drawExponential(random, meanInterarrivalMilliseconds), arrive)
    }
    time.schedule(drawExponential(random, meanInterarrivalMilliseconds), arrive)
  }
  scenario.kinds.forEach((_, position) => startArrivals(position))
  time.runUntil(end + settleMilliseconds)
  const sorted = latencies.sort((first, second) => first - second)
  return {
    scenario: scenario.name,
    policy,
    requests: sums.requests,
    credit: sums.earned / sums.owed,
    served: latencies.length / sums.requests,
    refused: sums.refused / sums.requests,
    p50Milliseconds: computePercentile(sorted, 50),
    p99Milliseconds: computePercentile(sorted, 99),
    queriesPerRequest: sums.questions / sums.requests
  }
}

function createServers ({ services, dataCentres, workPace }: PlatformScenario, position: number, seed: number, time: VirtualTime): PlatformServer[] {
  const service = services[position]
  return Array.from({ length: service?.servers ?? 0 }, (_, index) => createPlatformServer({
    time,
    random: createRandom(deriveStreamSeed(seed, 1_000 * (position + 10) + index)),
    name: `${service?.name ?? ''}-${index}`,
    dataCentre: index % dataCentres,
    slots: service?.slots ?? 1,
    queueLimit: service?.queueLimit ?? 0,
    workPace
  }))
}
