// Simulates a scenario with one policy. Arrivals, work and slowdowns use separate random streams, so all policies
// are subject to the same ones.
import { createFailureEvidence } from '@siskinbeam/failure-evidence/failureEvidence'
import { createVirtualTime, type VirtualTime } from '@siskinbeam/policy-comparison/eventQueue'
import { computePercentile } from '@siskinbeam/policy-comparison/computePercentile'
import { deriveStreamSeed } from '@siskinbeam/policy-comparison/deriveStreamSeed'
import { createRandom, drawExponential, drawLognormal, pickIndex } from '@siskinbeam/random/createRandom'
import { createPlatformHost, RequestOutcome } from './platformHost.js'
import type { PlatformPolicy, PlatformScenario } from './platformScenario.js'
import { createPlatformServer, type PlatformServer } from './platformServer.js'

/** Estimates reach a steady state within about ten responses per kind and host. */
const warmUpMilliseconds = 10_000
/** Time for the last requests to end. */
const drainMilliseconds = 4_000
const serviceTimeSigma = 0.3
/** How often a guest returns after a refusal. */
const returnsOfGuests = 1
const lateCreditRatio = 0.1

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
  /** Earned credit as a ratio of the possible credit, 0 to 1. */
  credit: number
  /** Credit of each kind of request as a ratio of its possible credit. */
  creditByKind: Record<string, number>
  /** Ratio of the requests with a response by their deadline, 0 to 1. */
  served: number
  /** Ratio of the requests that hosts refused, 0 to 1. */
  refused: number
  p50Milliseconds: number
  p99Milliseconds: number
  probesPerRequest: number
}

/** Simulates one policy for `seconds` of virtual time after the warm-up. */
export function runPlatform ({ scenario, policy, seed, seconds }: RunPlatformOptions): PlatformRow {
  const time = createVirtualTime()
  const end = warmUpMilliseconds + seconds * 1_000
  const serversOf = new Map(scenario.services.map((service, position) => [service.name, createServers(scenario, position, seed, time)]))
  const latencies: number[] = []
  const sums = { requests: 0, possibleCredit: 0, earnedCredit: 0, refused: 0, probes: 0 }
  const sumsByKind = new Map(scenario.kinds.map(({ name }) => [name, { possible: 0, earned: 0 }]))
  const evidence = Array.from({ length: scenario.dataCentres }, createFailureEvidence)
  const hosts = Array.from({ length: scenario.hosts }, (_, index) => createPlatformHost({
    name: `host-${index}`, evidence: evidence[index % scenario.dataCentres] ?? createFailureEvidence(), time, random: createRandom(deriveStreamSeed(seed, 2_000 + index)), dataCentre: index % scenario.dataCentres, scenario, policy, serversOf, onProbe: () => { if (isWithinMeasurement()) sums.probes += 1 }
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
        sums.possibleCredit += kind.worth
        const ofKind = sumsByKind.get(kind.name) ?? { possible: 0, earned: 0 }
        ofKind.possible += kind.worth
        if (outcome === RequestOutcome.Refused) sums.refused += 1
        if (outcome !== RequestOutcome.Responded) return
        latencies.push(time.now - arrivedAt)
        const earned = time.now - arrivedAt <= kind.targetLatencyMilliseconds ? kind.worth : kind.worth * lateCreditRatio
        sums.earnedCredit += earned
        ofKind.earned += earned
      }
      const serviceTimeMilliseconds = drawLognormal(random, kind.workMilliseconds, serviceTimeSigma)
      // The guest returns once after a refusal, as the platform's guests do.
      const attempt = (timeoutMilliseconds: number, returnsLeft: number): void => hosts[pickIndex(random, hosts.length)]?.({
        kind,
        serviceTimeMilliseconds,
        timeoutMilliseconds,
        onEnd: (outcome, retryAfterMilliseconds) => {
          if (outcome !== RequestOutcome.Refused || returnsLeft === 0) recordOutcome(outcome)
          else time.schedule(retryAfterMilliseconds, () => attempt(Math.round(kind.deadlineMilliseconds - (time.now - arrivedAt)), returnsLeft - 1))
        }
      })
      attempt(kind.deadlineMilliseconds, returnsOfGuests)
      time.schedule(drawExponential(random, meanInterarrivalMilliseconds), arrive)
    }
    time.schedule(drawExponential(random, meanInterarrivalMilliseconds), arrive)
  }
  scenario.kinds.forEach((_, position) => startArrivals(position))
  time.runUntil(end + drainMilliseconds)
  const sorted = latencies.sort((first, second) => first - second)
  return {
    scenario: scenario.name,
    policy,
    requests: sums.requests,
    credit: sums.earnedCredit / sums.possibleCredit,
    creditByKind: Object.fromEntries([...sumsByKind].map(([name, { possible, earned }]) => [name, earned / possible])),
    served: latencies.length / sums.requests,
    refused: sums.refused / sums.requests,
    p50Milliseconds: computePercentile(sorted, 50),
    p99Milliseconds: computePercentile(sorted, 99),
    probesPerRequest: sums.probes / sums.requests
  }
}

function createServers ({ services, dataCentres, failing, workPace: slowdownModel, saturationSlowdown }: PlatformScenario, position: number, seed: number, time: VirtualTime): PlatformServer[] {
  const service = services[position]
  const failingServers = failing?.service === service?.name ? (failing?.serversRatio ?? 0) * (service?.servers ?? 0) : 0
  return Array.from({ length: service?.servers ?? 0 }, (_, index) => createPlatformServer({
    time,
    random: createRandom(deriveStreamSeed(seed, 1_000 * (position + 10) + index)),
    name: `${service?.name ?? ''}-${index}`,
    dataCentre: index % dataCentres,
    slots: service?.slots ?? 1,
    queueLimit: service?.queueLimit ?? 0,
    slowdownModel,
    saturationSlowdown,
    failureRatio: index < failingServers ? failing?.failureRatio ?? 0 : 0
  }))
}
