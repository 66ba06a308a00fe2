// Measures the cost of the decisions of routing and limits, on states that are created as the daemon creates them.
import type { EntryHost } from '@siskinbeam/entry-host/entryHost'
import { AdmissionCommandKind, AdmissionEventKind } from '@siskinbeam/admission/admissionTypes'
import { createAdmissionState, stepAdmission } from '@siskinbeam/admission/stepAdmission'
import { CrashEventKind } from '@siskinbeam/crash-suspects/crashTypes'
import { decideSuspectSend } from '@siskinbeam/crash-suspects/decideSuspectSend'
import { createCrashSuspectsState, stepCrashSuspects } from '@siskinbeam/crash-suspects/stepCrashSuspects'
import { createServiceRuntimes } from '@siskinbeam/entry-host/servers/createServiceRuntimes'
import type { ServiceRuntime } from '@siskinbeam/entry-host/servers/serviceRuntime'
import { createMeasuringBudgetState, takeMeasuringBudget } from '@siskinbeam/measuring-budget/takeMeasuringBudget'
import { ReportSource } from '@siskinbeam/probing/loadReport'
import { createProbingState, ProbingEventKind, stepProbing } from '@siskinbeam/probing/stepProbing'
import { createRandom } from '@siskinbeam/random/createRandom'
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import { LoadBalancingPolicy, type Bundle } from '@siskinbeam/schema/bundle'
import { createRouteFinder } from '@siskinbeam/schema/findRoute'
import { chooseServer } from '@siskinbeam/server-choice/chooseServer'
import { ChoiceEventKind, CompletionKind } from '@siskinbeam/server-choice/choiceState'
import { stepServerChoice } from '@siskinbeam/server-choice/stepServerChoice'
import { readServerWeight } from '@siskinbeam/server-health/readServerWeight'
import { chooseSubset } from '@siskinbeam/subsets/chooseSubset'
import { endpointsPerService, makeBundle } from './makeBundles.js'
import { measureCost, type SamplingOptions } from './measureCost.js'
import { MeasurementName, type Measurement } from './benchmarkRecord.js'

export const serverCounts = [10, 100, 1_000, 14_000]
const serviceCounts = [2, 2_000]
const suspectCounts = [0, 100, 1_000]
const seed = 1
const hostName = 'entry-1'
/** Virtual time between two requests of one host; its value does not affect the cost. */
const stepMilliseconds = 0.1
const afterSlowStartMilliseconds = 10_000

/** Creates the service runtimes of a bundle as an entry host does. */
export function makeRuntimes (bundle: Bundle, previous: Map<string, ServiceRuntime> = new Map()): Map<string, ServiceRuntime> {
  // Runtimes use no other fields of the host until a connection opens.
  const host = { name: hostName, now: () => 0, random: createRandom(seed), outgoingAddress: undefined } as unknown as EntryHost
  return createServiceRuntimes({ bundle, previous, host, dataCentre: 'dc-1' })
}

/** Measures each decision of routing and limits. */
export function measureRouting (sampling: SamplingOptions): Measurement[] {
  return [
    ...serverCounts.map(size => measureDecision(sampling, size)),
    ...serverCounts.map(size => measureSubset(sampling, size)),
    ...serverCounts.map(size => measureProbe(sampling, size)),
    measureAdmission(sampling),
    ...serviceCounts.map(size => measureRouteLookup(sampling, size)),
    ...suspectCounts.map(size => measureSuspectCheck(sampling, size))
  ]
}

// One request through server selection: the decision and its three events.
function measureDecision (sampling: SamplingOptions, size: number): Measurement {
  const service = [...makeRuntimes(makeBundle({ endpoints: size, oneService: true })).values()][0] as ServiceRuntime
  const { choice: state, health } = service
  const random = createRandom(seed)
  const report = { inFlight: 2, queued: 0, slots: 3, latencyMilliseconds: 20 }
  let now = afterSlowStartMilliseconds
  const readWeight = (name: string): number => readServerWeight(health, name, now)
  return measureCost({
    label: { name: MeasurementName.ServerDecision, size, sizeUnit: 'servers' },
    sampling,
    operation: () => {
      now += stepMilliseconds
      const server = chooseServer({ state, policy: LoadBalancingPolicy.Ours, now, random, readWeight, excluded: [] })
      if (server === undefined) throw new Error('no server was selected')
      stepServerChoice({ state, event: { kind: ChoiceEventKind.Sent, server }, now })
      stepServerChoice({ state, event: { kind: ChoiceEventKind.Reported, server, report, source: ReportSource.Response, ageMilliseconds: 0 }, now })
      stepServerChoice({ state, event: { kind: ChoiceEventKind.Completed, server, completion: CompletionKind.Responded, latencyMilliseconds: 20 }, now })
      return server
    }
  })
}

function measureSubset (sampling: SamplingOptions, size: number): Measurement {
  const service = makeBundle({ endpoints: size, oneService: true }).services[0] as Bundle['services'][number]
  return measureCost({
    label: { name: MeasurementName.SubsetChoice, size, sizeUnit: 'servers' },
    sampling,
    operation: () => chooseSubset({ hostSeed: hostName, servers: service.servers, size: service.subsetSize, readRoundTripMilliseconds: dataCentre => dataCentre === 'dc-1' ? 0 : 1 })
  })
}

// One probe per request, with the measuring budget that the daemon checks; the budget is large enough that no probe is refused.
function measureProbe (sampling: SamplingOptions, size: number): Measurement {
  const bundle = makeBundle({ endpoints: size, oneService: true })
  const service = [...makeRuntimes(bundle).values()][0] as ServiceRuntime
  const state = createProbingState({ ...bundle.measuring, probesPerRequest: 1 })
  const budgetState = createMeasuringBudgetState()
  const budget = { messagesPerSecond: 1e9, bytesPerSecond: 1e12, coreShare: 1e6 }
  const random = createRandom(seed)
  let now = 0
  const takeBudget: Parameters<typeof stepProbing>[0]['takeBudget'] = cost => takeMeasuringBudget({ state: budgetState, budget, cost, now })
  stepProbing({ state, event: { kind: ProbingEventKind.ServersChanged, servers: [...service.servers.keys()] }, now, random, takeBudget })
  return measureCost({
    label: { name: MeasurementName.ProbeDecision, size, sizeUnit: 'servers' },
    sampling,
    operation: () => {
      now += stepMilliseconds
      return stepProbing({ state, event: { kind: ProbingEventKind.RequestArrived }, now, random, takeBudget })
    }
  })
}

// Arrival and completion of one request, while as many others are in flight as the servers of a service have slots.
function measureAdmission (sampling: SamplingOptions): Measurement {
  const inFlight = endpointsPerService * 3
  const state = createAdmissionState({ queueLength: 100, classCount: 2, initialLimit: inFlight + 1, maximumLimit: 4 * inFlight })
  const random = createRandom(seed)
  let now = 0
  let number = 0
  const arrive = (): string => {
    number += 1
    const requestId = String(number)
    const commands = stepAdmission({ state, event: { kind: AdmissionEventKind.Arrived, requestId, classRank: number % 2, deadlineAt: now + 2_000, refusalOutcome: Outcome.NotRun }, now, random })
    if (commands[0]?.kind !== AdmissionCommandKind.Admit) throw new Error('the request was not admitted')
    return requestId
  }
  const admitted = Array.from({ length: inFlight }, arrive)
  return measureCost({
    label: { name: MeasurementName.Admission, size: inFlight, sizeUnit: 'requests in flight' },
    sampling,
    operation: () => {
      now += stepMilliseconds
      admitted.push(arrive())
      return stepAdmission({ state, event: { kind: AdmissionEventKind.Finished, requestId: admitted.shift() as string }, now, random })
    }
  })
}

function measureRouteLookup (sampling: SamplingOptions, size: number): Measurement {
  const findRoute = createRouteFinder(makeBundle({ endpoints: size * endpointsPerService }))
  let number = 0
  return measureCost({
    label: { name: MeasurementName.RouteLookup, size, sizeUnit: 'services' },
    sampling,
    operation: () => {
      number = (number + 1) % size
      return findRoute('GET', `/service-${number + 1}/lookups/AB-123`)
    }
  })
}

// The check before a send and the record of its completion, for a request that is not a crash suspect.
function measureSuspectCheck (sampling: SamplingOptions, size: number): Measurement {
  const state = createCrashSuspectsState()
  const fingerprints = Array.from({ length: size }, (_, position) => ({ fingerprint: `suspect-${position}`, ageMilliseconds: 5 }))
  if (size > 0) stepCrashSuspects({ state, event: { kind: CrashEventKind.ServerDied, server: 'server-1', boot: 'boot-1', inFlight: fingerprints }, now: 0 })
  const servers = Array.from({ length: endpointsPerService }, (_, position) => `server-${position + 1}`)
  let now = 1_000
  let number = 0
  return measureCost({
    label: { name: MeasurementName.CrashSuspectCheck, size, sizeUnit: 'suspects' },
    sampling,
    operation: () => {
      now += stepMilliseconds
      number += 1
      const fingerprint = `request-${number}`
      stepCrashSuspects({ state, event: { kind: CrashEventKind.Finished, fingerprint }, now })
      return decideSuspectSend({ state, fingerprint, servers, now })
    }
  })
}
