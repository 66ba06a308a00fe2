// Creates the runtimes of the services in a bundle. The recorded state of a server and its connections are
// carried over to a new bundle that contains the server with the same address.
import { createAdmissionState } from '@siskinbeam/admission/stepAdmission'
import { createHedgingState } from '@siskinbeam/hedging/decideHedge'
import { createProbingState, ProbingEventKind, stepProbing } from '@siskinbeam/probing/stepProbing'
import { createRetryBudget } from '@siskinbeam/retries/retryBudget'
import type { Bundle, ServerConfiguration, ServiceConfiguration } from '@siskinbeam/schema/bundle'
import { ChoiceEventKind, createServerChoiceState } from '@siskinbeam/server-choice/choiceState'
import { stepServerChoice } from '@siskinbeam/server-choice/stepServerChoice'
import { createServerHealthState, HealthEventKind } from '@siskinbeam/server-health/healthState'
import { stepServerHealth } from '@siskinbeam/server-health/stepServerHealth'
import { createServerNotices } from '@siskinbeam/server-notices/serverNotices'
import { splitAddress } from '@siskinbeam/settings/splitAddress'
import { chooseSubset } from '@siskinbeam/subsets/chooseSubset'
import { ConnectionEventKind } from '@siskinbeam/connection-shares/connectionTypes'
import { createConnectionHealthState } from '@siskinbeam/connection-shares/stepConnectionHealth'
import type { EntryHost } from '../entryHost.js'
import { ServerConnections } from './serverConnections.js'
import type { ServerRuntime, ServiceRuntime } from './serviceRuntime.js'
import { handleConnectionEvent } from './watchConnections.js'

export interface CreateServiceRuntimesOptions {
  bundle: Bundle
  previous: Map<string, ServiceRuntime>
  host: EntryHost
  dataCentre: string
}

/** Assumed if the bundle states no round-trip time between this host's data centre and the server's. */
const defaultRoundTripMilliseconds = 1
/** Minimum of the initial admission limit, which is otherwise the sum of all slots. That sum is too high for one of several hosts, but the limit adapts within a second. */
const minimumLimit = 4

/** Creates the runtimes for a bundle and reuses the state of the previous ones. */
export function createServiceRuntimes (options: CreateServiceRuntimesOptions): Map<string, ServiceRuntime> {
  return new Map(options.bundle.services.map(service => [service.name, createServiceRuntime(options, service)]))
}

function createServiceRuntime (options: CreateServiceRuntimesOptions, configuration: ServiceConfiguration): ServiceRuntime {
  const { bundle, host: { now, random } } = options
  const previous = options.previous.get(configuration.name)
  const roundTrips = bundle.dataCentres.find(({ name }) => name === options.dataCentre)?.roundTripMilliseconds ?? {}
  const readRoundTripMilliseconds = (dataCentre: string): number => dataCentre === options.dataCentre ? 0 : roundTrips[dataCentre] ?? defaultRoundTripMilliseconds
  const subset = chooseSubset({
    hostSeed: options.host.name,
    servers: configuration.servers,
    size: configuration.subsetSize,
    readRoundTripMilliseconds
  })
  const servers = new Map(subset.map((server): [string, ServerRuntime] => {
    const existing = previous?.servers.get(server.name)
    const roundTripMilliseconds = readRoundTripMilliseconds(server.dataCentre)
    return [server.name, existing?.configuration.address === server.address ? Object.assign(existing, { configuration: server, roundTripMilliseconds }) : createServerRuntime(options.host, server, roundTripMilliseconds, () => runtime)]
  }))
  const slots = subset.reduce((sum, server) => sum + server.slots, 0)
  // Connections emit no events before the runtime exists.
  const runtime: ServiceRuntime = {
    configuration,
    servers,
    choice: previous?.choice ?? createServerChoiceState(),
    health: previous?.health ?? createServerHealthState(),
    probing: previous?.probing ?? createProbingState(bundle.measuring),
    // The admission state holds the waiting requests, so it is replaced only if its configuration changed.
    admission: previous !== undefined && previous.configuration.limits.queueLength === configuration.limits.queueLength && previous.admission.admittedRatios.length === bundle.guestClasses.length
      ? previous.admission
      : createAdmissionState({
        queueLength: configuration.limits.queueLength,
        classCount: bundle.guestClasses.length,
        initialLimit: Math.max(minimumLimit, slots),
        maximumLimit: Math.max(minimumLimit, 2 * slots)
      }),
    admissionRequests: previous?.admissionRequests ?? new Map(),
    retryBudget: Object.assign(previous?.retryBudget ?? createRetryBudget({ budgetShare: configuration.retry.budgetShare, now: now() }), { budgetShare: configuration.retry.budgetShare }),
    hedging: previous !== undefined && previous.configuration.hedging.percentile === configuration.hedging.percentile && previous.configuration.hedging.enabled === configuration.hedging.enabled
      ? previous.hedging
      : createHedgingState(configuration.hedging),
    notices: previous?.notices ?? createServerNotices(),
    reportedPauses: previous?.reportedPauses ?? new Set()
  }
  const names = [...servers.keys()]
  stepServerChoice({ state: runtime.choice, event: { kind: ChoiceEventKind.ServersChanged, servers: subset.map(({ name, slots: serverSlots }) => ({ name, slots: serverSlots })) }, now: now() })
  stepServerHealth({ state: runtime.health, event: { kind: HealthEventKind.ServersChanged, servers: names }, now: now() })
  const takeBudget = (): boolean => false
  stepProbing({ state: runtime.probing, event: { kind: ProbingEventKind.RuleChanged, rule: bundle.measuring }, now: now(), random, takeBudget })
  stepProbing({ state: runtime.probing, event: { kind: ProbingEventKind.ServersChanged, servers: names }, now: now(), random, takeBudget })
  return runtime
}

function createServerRuntime (host: EntryHost, configuration: ServerConfiguration, roundTripMilliseconds: number, service: () => ServiceRuntime): ServerRuntime {
  const server: ServerRuntime = {
    configuration,
    ...splitAddress(configuration.address),
    roundTripMilliseconds,
    connections: new ServerConnections({
      maximumConnections: configuration.connections,
      outgoingAddress: host.outgoingAddress,
      onOpened: connectionId => handleConnectionEvent(host, service(), server, { kind: ConnectionEventKind.Opened, connectionId }),
      onClosed: connectionId => handleConnectionEvent(host, service(), server, { kind: ConnectionEventKind.Closed, connectionId })
    }),
    connectionHealth: createConnectionHealthState(),
    boot: '',
    openSends: new Set(),
    recentEndedSends: [],
    pendingDeathCheck: undefined
  }
  return server
}
