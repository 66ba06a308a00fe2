// The state dump of an entry host for operators. It contains no secrets.
import type { MembershipState } from '@siskinbeam/entry-hosts/membershipState'
import { readViolationCounts } from '@siskinbeam/invariants/checkInvariant'
import type { RolloutStatus } from '@siskinbeam/rollout/rolloutState'
import { readServerWeight } from '@siskinbeam/server-health/readServerWeight'
import type { EntryHost } from '../entryHost.js'
import { readPauseMilliseconds } from '../servers/pausedServers.js'
import type { ServiceRuntime } from '../servers/serviceRuntime.js'

export interface DescribeHostOptions {
  host: EntryHost
  membership: MembershipState
  rollout: RolloutStatus
  inFlight: number
}

/** Returns the state of the host as an object that can be serialized to JSON. */
export function describeHost ({ host, membership, rollout, inFlight }: DescribeHostOptions): Record<string, unknown> {
  const { services } = host.activeBundle() ?? { services: new Map<string, ServiceRuntime>() }
  const memory = process.memoryUsage()
  return {
    host: host.name,
    bootId: membership.own.bootId,
    dataCentre: membership.own.dataCentre,
    leaving: host.isLeaving(),
    inFlight,
    uptimeSeconds: Math.round(process.uptime()),
    residentMegabytes: Math.round(memory.rss / 1_048_576),
    bundle: rollout,
    members: [...membership.records.values()].map(({ entry, status }) => ({ ...entry, status })),
    services: Object.fromEntries([...services].map(([name, service]) => [name, describeService(host, service)])),
    claims: host.claims.describe(),
    crashSuspects: [...host.crashes.suspects.values()].map(({ fingerprint, status, deaths }) => ({ fingerprint, status, deaths: deaths.size })),
    invariantViolations: readViolationCounts(),
    metrics: host.metrics.snapshot()
  }
}

function describeService (host: EntryHost, service: ServiceRuntime): Record<string, unknown> {
  const now = host.now()
  return {
    policy: service.configuration.policy,
    admission: { inFlight: service.admission.inFlight, waiting: service.admission.queue.length, limit: round(service.admission.limit.value) },
    retries: { firstSends: service.retryBudget.firstSends, furtherSends: service.retryBudget.furtherSends, tokens: round(service.retryBudget.tokens) },
    hedgeAfterMilliseconds: service.hedging.latencies.valueMilliseconds,
    servers: Object.fromEntries([...service.servers].map(([name, server]) => {
      const load = service.choice.byName.get(name)
      const health = service.health.servers.get(name)
      return [name, {
        address: server.configuration.address,
        boot: server.boot,
        weight: round(readServerWeight(service.health, name, now)),
        leaving: health?.leaving?.sign,
        pauseMilliseconds: readPauseMilliseconds(host, service, server),
        ejectedMilliseconds: health === undefined || health.ejectedUntil <= now ? undefined : Math.round(health.ejectedUntil - now),
        ownInFlight: load?.ownInFlight,
        reportedInFlight: load?.reportedInFlight,
        reportAgeMilliseconds: load === undefined || load.reportedAt === -Infinity ? undefined : Math.round(now - load.reportedAt),
        latencyMilliseconds: load?.latencyMilliseconds === undefined ? undefined : round(load.latencyMilliseconds),
        connections: server.connections.countOpen()
      }]
    }))
  }
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}
