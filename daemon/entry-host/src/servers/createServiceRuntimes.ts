// Makes the runtimes of the services of a bundle. What was learnt about a server, and its
// connections, outlive a change of bundle that leaves the server in place.
import { createAdmissionState } from '@siskinbeam/admission/stepAdmission'
import { createHedgingState } from '@siskinbeam/hedging/decideHedge'
import { createProbingState, ProbingEventKind, stepProbing } from '@siskinbeam/probing/stepProbing'
import { createRetryBudget } from '@siskinbeam/retries/retryBudget'
import type { Bundle, ServerConfiguration, ServiceConfiguration } from '@siskinbeam/schema/bundle'
import { ChoiceEventKind, createServerChoiceState } from '@siskinbeam/server-choice/choiceState'
import { stepServerChoice } from '@siskinbeam/server-choice/stepServerChoice'
import { createServerHealthState, HealthEventKind } from '@siskinbeam/server-health/healthState'
import { stepServerHealth } from '@siskinbeam/server-health/stepServerHealth'
import { splitAddress } from '@siskinbeam/settings/splitAddress'
import { chooseSubset } from '@siskinbeam/subsets/chooseSubset'
import { ConnectionEventKind } from '@siskinbeam/connection-shares/connectionTypes'
import { createConnectionHealthState } from '@siskinbeam/connection-shares/stepConnectionHealth'
import type { EntryHost } from '../entryHost.js'
import { ServerConnections } from './serverConnections.js'
import type { ServerRuntime, ServiceRuntime } from './serviceRuntime.js'
import { feedConnections } from './watchConnections.js'

export interface CreateServiceRuntimesOptions {
  bundle: Bundle
  previous: Map<string, ServiceRuntime>
  host: EntryHost
  dataCentre: string
}

/** A host whose round trip to a data centre is not stated counts as this far. */
const assumedRoundTripMilliseconds = 1
/** Slots of the whole service are a generous first guess of a host's limit; it adapts within a second. */
const smallestLimit = 4

/** Makes the runtimes of a bundle from those of the one before. */
export function createServiceRuntimes (options: CreateServiceRuntimesOptions): Map<string, ServiceRuntime> {
  return new Map(options.bundle.services.map(rule => [rule.name, createServiceRuntime(options, rule)]))
}

function createServiceRuntime (options: CreateServiceRuntimesOptions, rule: ServiceConfiguration): ServiceRuntime {
  const { bundle, host: { now, random } } = options
  const before = options.previous.get(rule.name)
  const roundTrips = bundle.dataCentres.find(({ name }) => name === options.dataCentre)?.roundTripMilliseconds ?? {}
  const readRoundTripMilliseconds = (dataCentre: string): number => dataCentre === options.dataCentre ? 0 : roundTrips[dataCentre] ?? assumedRoundTripMilliseconds
  const places = chooseSubset({
    hostSeed: options.host.name,
    servers: rule.servers,
    size: rule.subsetSize,
    readRoundTripMilliseconds
  })
  const servers = new Map(places.map((place): [string, ServerRuntime] => {
    const known = before?.servers.get(place.name)
    const roundTripMilliseconds = readRoundTripMilliseconds(place.dataCentre)
    return [place.name, known?.place.address === place.address ? Object.assign(known, { place, roundTripMilliseconds }) : createServer(options.host, place, roundTripMilliseconds, () => runtime)]
  }))
  const slots = places.reduce((sum, place) => sum + place.slots, 0)
  // Events of connections come only after the runtime exists.
  const runtime: ServiceRuntime = {
    rule,
    servers,
    choice: before?.choice ?? createServerChoiceState(),
    health: before?.health ?? createServerHealthState(),
    probing: before?.probing ?? createProbingState(bundle.measuring),
    // Waiting requests stay with their admission, so it is replaced only if its rule changed.
    admission: before !== undefined && before.rule.limits.queueLength === rule.limits.queueLength && before.admission.admittedRatios.length === bundle.guestClasses.length
      ? before.admission
      : createAdmissionState({
        queueLength: rule.limits.queueLength,
        classCount: bundle.guestClasses.length,
        initialLimit: Math.max(smallestLimit, slots),
        maximumLimit: Math.max(smallestLimit, 2 * slots)
      }),
    admitted: before?.admitted ?? new Map(),
    retryBudget: Object.assign(before?.retryBudget ?? createRetryBudget({ budgetShare: rule.retry.budgetShare, now: now() }), { budgetShare: rule.retry.budgetShare }),
    hedging: before !== undefined && before.rule.hedging.percentile === rule.hedging.percentile && before.rule.hedging.enabled === rule.hedging.enabled
      ? before.hedging
      : createHedgingState(rule.hedging)
  }
  const names = [...servers.keys()]
  stepServerChoice({ state: runtime.choice, event: { kind: ChoiceEventKind.ServersChanged, servers: places.map(({ name, slots: serverSlots }) => ({ name, slots: serverSlots })) }, now: now() })
  stepServerHealth({ state: runtime.health, event: { kind: HealthEventKind.ServersChanged, servers: names }, now: now() })
  const takeBudget = (): boolean => false
  stepProbing({ state: runtime.probing, event: { kind: ProbingEventKind.RuleChanged, rule: bundle.measuring }, now: now(), random, takeBudget })
  stepProbing({ state: runtime.probing, event: { kind: ProbingEventKind.ServersChanged, servers: names }, now: now(), random, takeBudget })
  return runtime
}

function createServer (host: EntryHost, place: ServerConfiguration, roundTripMilliseconds: number, service: () => ServiceRuntime): ServerRuntime {
  const server: ServerRuntime = {
    place,
    ...splitAddress(place.address),
    roundTripMilliseconds,
    connections: new ServerConnections({
      maximumConnections: place.connections,
      outgoingAddress: host.outgoingAddress,
      onOpened: connectionId => feedConnections(host, service(), server, { kind: ConnectionEventKind.Opened, connectionId }),
      onClosed: connectionId => feedConnections(host, service(), server, { kind: ConnectionEventKind.Closed, connectionId })
    }),
    connectionHealth: createConnectionHealthState(),
    boot: '',
    openSends: new Set(),
    brokenSends: [],
    deathCheck: undefined
  }
  return server
}
