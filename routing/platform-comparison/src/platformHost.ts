// Simulated entry host of the users' platform. Probes, ranking and admission use the decision modules of
// the daemon; the policy determines how a server is chosen.
import { decideAdmission, RequestPriority } from '@siskinbeam/admission/decideAdmission'
import { decideRetryAfter } from '@siskinbeam/admission/decideRetryAfter'
import { createOverloadState, isOverloaded, recordSelection, type OverloadState } from '@siskinbeam/admission/overloadDetection'
import { createTimeoutCounts, recordTimeout } from '@siskinbeam/admission/timeBeforeArrival'
import { createServiceTimeEstimates } from '@siskinbeam/platform-host/requestPath/serviceTimeEstimates'
import { readFailureRatio, recordSendCounts, type FailureEvidence } from '@siskinbeam/failure-evidence/failureEvidence'
import type { VirtualTime } from '@siskinbeam/policy-comparison/eventQueue'
import { sample, type Random } from '@siskinbeam/random/createRandom'
import { selectServersToProbe } from '@siskinbeam/server-ranking/selectServersToProbe'
import { createCorrectionState, updateCorrection, type CorrectionState } from '@siskinbeam/server-ranking/estimateCorrection'
import { createSaturationState, recordResponseTime, computeSaturationSlowdown, wouldBeNearSaturation, type SaturationState } from '@siskinbeam/server-ranking/saturationSlowdown'
import { rankServers, type RankedServer, type ProbedLoad } from '@siskinbeam/server-ranking/rankServers'
import { PlatformPolicy, type PlatformScenario, type RequestKind } from './platformScenario.js'
import type { PlatformServer } from './platformServer.js'

/** How a request ended. */
export enum RequestOutcome {
  Responded = 'answered',
  /** Refused by the host before it was sent. */
  Refused = 'refused',
  /** Shed or reset by a server, or responded after the deadline. */
  Failed = 'failed'
}

export interface PlatformHostOptions {
  time: VirtualTime
  random: Random
  dataCentre: number
  scenario: PlatformScenario
  policy: PlatformPolicy
  serversOf: ReadonlyMap<string, PlatformServer[]>
  name: string
  /** What the hosts of the data centre have seen of failing servers. */
  evidence: FailureEvidence
  onProbe: () => void
}

export interface SimulatedRequest {
  kind: RequestKind
  serviceTimeMilliseconds: number
  /** Milliseconds until the guest's deadline, as it states it. */
  timeoutMilliseconds: number
  /** Called once; with the time after which the guest may return if the request was refused. */
  onEnd: (end: RequestOutcome, retryAfterMilliseconds: number) => void
}

interface ProbedPlatformServer {
  server: PlatformServer
  load: ProbedLoad
  inFlightWhenProbed: number
}

type Choice = RankedServer<ProbedPlatformServer> | undefined
type PolicyFunction = (kind: RequestKind, onChosen: (choice: Choice) => void) => void

/** Estimates that a host keeps for a service. */
interface ServiceState {
  overload: OverloadState
  correction: CorrectionState
  saturation: SaturationState
}

/** Constants of the daemon, from `chooseProbedServer` and `forwardRequest` in `daemon/platform-host`. */
const maximumSlowdown = 1.6
const maximumNormalSlowdown = 1.2
const maximumProbeRounds = 3
/** One-way latency, from the platform's site files. */
const withinDataCentreMilliseconds = 0.1
/** Hosts report the outcomes of their sends at this interval. */
const reportMilliseconds = 400
const maximumSends = 2
const policiesWithAdmission = new Set([PlatformPolicy.Ours, PlatformPolicy.OmniscientAdmission])

/** Creates a host and returns the function that handles a request. */
export function createPlatformHost (options: PlatformHostOptions): (request: SimulatedRequest) => void {
  const { time, random, dataCentre, scenario, policy } = options
  const inFlight = new Map<PlatformServer, number>()
  const serviceTimes = createServiceTimeEstimates()
  const states = new Map<string, ServiceState>(scenario.services.map(({ name }) => [name, { overload: createOverloadState(), correction: createCorrectionState(), saturation: createSaturationState() }]))
  const stateOf = (service: string): ServiceState => {
    const state = states.get(service)
    if (state === undefined) throw new Error(`service "${service}" is not part of scenario "${scenario.name}"`)
    return state
  }
  const serversOf = (service: string): PlatformServer[] => options.serversOf.get(service) ?? []
  const readInFlight = (server: PlatformServer): number => inFlight.get(server) ?? 0
  const oneWayMilliseconds = (server: PlatformServer): number => server.dataCentre === dataCentre ? withinDataCentreMilliseconds : scenario.betweenDataCentresMilliseconds
  const readServiceTime = ({ name, targetLatencyMilliseconds }: RequestKind): number => serviceTimes.read(name, targetLatencyMilliseconds)

  const rank = (probed: ProbedPlatformServer[], kind: RequestKind, targetLeftMilliseconds = kind.targetLatencyMilliseconds): Choice => rankServers(probed.map(server => ({
    server,
    view: {
      load: server.load,
      unreportedRequests: Math.max(0, readInFlight(server.server) - server.inFlightWhenProbed),
      sameDataCentre: server.server.dataCentre === dataCentre,
      cold: false,
      failureRatio: readFailureRatio(options.evidence, server.server.name, time.now),
      saturationSlowdown: computeSaturationSlowdown(stateOf(kind.service).saturation)
    }
  })), { serviceTimeMilliseconds: readServiceTime(kind), isRepeatable: kind.isRepeatable, targetLeftMilliseconds })[0]

  const snapshotServer = (server: PlatformServer): ProbedPlatformServer => ({ server, load: server.readLoad(), inFlightWhenProbed: readInFlight(server) })

  const createProbingPolicy = (roundLimit: number): PolicyFunction => (kind, onChosen) => {
    const probedBefore = new Set<PlatformServer>()
    const probeRound = (round: number, earlier: ProbedPlatformServer[]): void => {
      const candidates = serversOf(kind.service)
        .filter(server => !probedBefore.has(server))
        .map(server => ({ server, sameDataCentre: server.dataCentre === dataCentre, preferred: true, avoided: false }))
      const probed = selectServersToProbe({ candidates, round, random }).map(({ server }) => server)
      probed.forEach(server => {
        probedBefore.add(server)
        options.onProbe()
      })
      const responses: ProbedPlatformServer[] = []
      probed.forEach(server => time.schedule(oneWayMilliseconds(server), () => { responses.push(snapshotServer(server)) }))
      time.schedule(2 * Math.max(withinDataCentreMilliseconds, ...probed.map(oneWayMilliseconds)), () => {
        const all = [...earlier, ...responses]
        const best = rank(all, kind)
        const isAcceptable = best !== undefined && best.hasFreeSlot && best.adjustedEstimate <= maximumSlowdown * readServiceTime(kind)
        if (isAcceptable || probed.length === 0 || round + 1 >= roundLimit) onChosen(best)
        else probeRound(round + 1, all)
      })
    }
    probeRound(0, [])
  }

  const chooseOmniscient: PolicyFunction = (kind, onChosen) => onChosen(rank(serversOf(kind.service).map(snapshotServer), kind))

  const policyFunctions: Record<PlatformPolicy, PolicyFunction> = {
    [PlatformPolicy.Random]: (kind, onChosen) => onChosen(rank(sample(random, serversOf(kind.service), 1).map(snapshotServer), kind)),
    [PlatformPolicy.TwoChoicesOwn]: (kind, onChosen) => {
      const [first] = sample(random, serversOf(kind.service), 2).sort((one, other) => readInFlight(one) - readInFlight(other))
      onChosen(first === undefined ? undefined : rank([snapshotServer(first)], kind))
    },
    [PlatformPolicy.ProbeOnce]: createProbingPolicy(1),
    [PlatformPolicy.ProbeRounds]: createProbingPolicy(maximumProbeRounds),
    [PlatformPolicy.Ours]: createProbingPolicy(maximumProbeRounds),
    [PlatformPolicy.Omniscient]: chooseOmniscient,
    [PlatformPolicy.OmniscientAdmission]: chooseOmniscient
  }

  const timeoutCounts = new Map(scenario.kinds.map(({ name }) => [name, createTimeoutCounts()]))

  const isAdmitted = ({ kind, timeoutMilliseconds }: SimulatedRequest, choice: RankedServer<ProbedPlatformServer>, elapsedMilliseconds: number, timeBeforeArrival: number): boolean => {
    const { overload, correction } = stateOf(kind.service)
    const { load } = choice.server
    recordSelection(overload, wouldBeNearSaturation(load.running + load.waiting, load.slots))
    return !policiesWithAdmission.has(policy) || decideAdmission({
      estimatedLatencyMilliseconds: choice.estimate * correction.factor,
      elapsedMilliseconds: elapsedMilliseconds + timeBeforeArrival,
      targetLatencyMilliseconds: kind.targetLatencyMilliseconds,
      remainingMilliseconds: timeoutMilliseconds - elapsedMilliseconds,
      priority: kind.isLessImportant ? RequestPriority.Lower : RequestPriority.Highest,
      hasSpareCapacity: choice.hasFreeSlot && !isOverloaded(overload)
    })
  }

  const updateEstimates = (kind: RequestKind, { server: { load }, estimate }: RankedServer<ProbedPlatformServer>, milliseconds: number): void => {
    const { correction, saturation } = stateOf(kind.service)
    const expectedMilliseconds = readServiceTime(kind)
    updateCorrection(correction, estimate, milliseconds)
    serviceTimes.record(kind.name, kind.targetLatencyMilliseconds, milliseconds)
    if (load.slowdown <= maximumNormalSlowdown && load.waiting === 0) recordResponseTime(saturation, wouldBeNearSaturation(load.running, load.slots), milliseconds / expectedMilliseconds)
  }

  const reportSend = (server: PlatformServer, failed: boolean): void => {
    if (scenario.failing?.isReported !== true) return
    time.schedule(reportMilliseconds, () => recordSendCounts({ evidence: options.evidence, server: server.name, host: options.name, sends: 1, failures: failed ? 1 : 0, now: time.now }))
  }

  const send = (request: SimulatedRequest, choice: RankedServer<ProbedPlatformServer>, arrivedAt: number, sends = 1): void => {
    const { kind, serviceTimeMilliseconds, timeoutMilliseconds, onEnd } = request
    const { server } = choice.server
    const sentAt = time.now
    inFlight.set(server, readInFlight(server) + 1)
    const finish = (end: RequestOutcome): void => time.schedule(oneWayMilliseconds(server), () => {
      inFlight.set(server, readInFlight(server) - 1)
      const isInTime = time.now - arrivedAt <= timeoutMilliseconds
      if (end === RequestOutcome.Responded) updateEstimates(kind, choice, time.now - sentAt)
      onEnd(isInTime ? end : RequestOutcome.Failed, 0)
    })
    const reset = (): void => {
      reportSend(server, true)
      if (!kind.isRepeatable || sends >= maximumSends) {
        finish(RequestOutcome.Failed)
        return
      }
      time.schedule(oneWayMilliseconds(server), () => {
        inFlight.set(server, readInFlight(server) - 1)
        policyFunctions[policy](kind, next => {
          if (next === undefined) onEnd(RequestOutcome.Failed, 0)
          else send(request, next, arrivedAt, sends + 1)
        })
      })
    }
    const complete = (): void => {
      reportSend(server, false)
      finish(RequestOutcome.Responded)
    }
    time.schedule(oneWayMilliseconds(server), () => {
      if (!server.accept(serviceTimeMilliseconds, complete, reset)) finish(RequestOutcome.Failed)
    })
  }

  const refuse = ({ kind, timeoutMilliseconds, onEnd }: SimulatedRequest, elapsedMilliseconds: number, timeBeforeArrival: number): void => onEnd(RequestOutcome.Refused, decideRetryAfter({
    targetLeftMilliseconds: kind.targetLatencyMilliseconds - timeBeforeArrival - elapsedMilliseconds,
    serviceTimeMilliseconds: readServiceTime(kind),
    remainingMilliseconds: timeoutMilliseconds - elapsedMilliseconds,
    random
  }))

  return request => {
    const arrivedAt = time.now
    const counts = timeoutCounts.get(request.kind.name) ?? createTimeoutCounts()
    const timeBeforeArrival = recordTimeout(counts, request.timeoutMilliseconds)
    policyFunctions[policy](request.kind, choice => {
      const elapsedMilliseconds = time.now - arrivedAt
      if (choice === undefined || !isAdmitted(request, choice, elapsedMilliseconds, timeBeforeArrival)) refuse(request, elapsedMilliseconds, timeBeforeArrival)
      else send(request, choice, arrivedAt)
    })
  }
}
