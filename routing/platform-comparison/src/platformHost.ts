// Simulated entry host of the users' platform. Load queries, ranking and admission use the decision modules of
// the daemon; the policy determines how a server is chosen.
import { decideAdmission, RequestPriority } from '@siskinbeam/admission/decideAdmission'
import { createOverloadState, isOverloaded, recordSelection, type OverloadState } from '@siskinbeam/admission/overloadDetection'
import { createServiceTimeEstimates } from '@siskinbeam/platform-host/requestPath/serviceTimeEstimates'
import type { VirtualTime } from '@siskinbeam/policy-comparison/eventQueue'
import { sample, type Random } from '@siskinbeam/random/createRandom'
import { selectServersToProbe } from '@siskinbeam/server-ranking/selectServersToProbe'
import { createCorrectionState, updateCorrection, type CorrectionState } from '@siskinbeam/server-ranking/estimateCorrection'
import { createSaturationState, recordAnswerTime, computeSaturationSlowdown, wouldBeNearSaturation, type SaturationState } from '@siskinbeam/server-ranking/saturationSlowdown'
import { rankServers, type RankedServer, type ServerLoad } from '@siskinbeam/server-ranking/rankServers'
import { PlatformPolicy, type PlatformScenario, type RequestKind } from './platformScenario.js'
import type { PlatformServer } from './platformServer.js'

/** How a request ended. */
export enum RequestOutcome {
  Answered = 'answered',
  /** Refused by the host before it was sent. */
  Refused = 'refused',
  /** Shed by a server, or answered after the deadline. */
  Failed = 'failed'
}

export interface PlatformHostOptions {
  time: VirtualTime
  random: Random
  dataCentre: number
  scenario: PlatformScenario
  policy: PlatformPolicy
  serversOf: ReadonlyMap<string, PlatformServer[]>
  onLoadQuery: () => void
}

export interface SimulatedRequest {
  kind: RequestKind
  workMilliseconds: number
  onEnd: (end: RequestOutcome) => void
}

interface QueriedServer {
  server: PlatformServer
  load: ServerLoad
  inFlightAtQuery: number
}

type Choice = RankedServer<QueriedServer> | undefined
type PolicyFunction = (kind: RequestKind, onChosen: (choice: Choice) => void) => void

/** Estimates that a host keeps for a service. */
interface ServiceState {
  pressure: OverloadState
  correction: CorrectionState
  fullness: SaturationState
}

/** Constants of the daemon, from `chooseServer` and `dispatchRequest` in `daemon/platform-host`. */
const acceptableSlowdown = 1.6
const normalSlowdownLimit = 1.2
const maximumQueryRounds = 3
/** One-way latency, from the platform's site files. */
const withinDataCentreMilliseconds = 0.1
const policiesWithAdmission = new Set([PlatformPolicy.Ours, PlatformPolicy.OmniscientAdmission])

/** Creates a host and returns the function that handles a request. */
export function createPlatformHost (options: PlatformHostOptions): (request: SimulatedRequest) => void {
  const { time, random, dataCentre, scenario, policy } = options
  const inFlight = new Map<PlatformServer, number>()
  const work = createServiceTimeEstimates()
  const states = new Map<string, ServiceState>(scenario.services.map(({ name }) => [name, { pressure: createOverloadState(), correction: createCorrectionState(), fullness: createSaturationState() }]))
  const stateOf = (service: string): ServiceState => {
    const state = states.get(service)
    if (state === undefined) throw new Error(`service "${service}" is not part of scenario "${scenario.name}"`)
    return state
  }
  const serversOf = (service: string): PlatformServer[] => options.serversOf.get(service) ?? []
  const readInFlight = (server: PlatformServer): number => inFlight.get(server) ?? 0
  const oneWayMilliseconds = (server: PlatformServer): number => server.dataCentre === dataCentre ? withinDataCentreMilliseconds : scenario.betweenDataCentresMilliseconds
  const readWork = ({ name, targetLatencyMilliseconds }: RequestKind): number => work.read(name, targetLatencyMilliseconds)

  const rank = (queried: QueriedServer[], kind: RequestKind): Choice => rankServers(queried.map(answer => ({
    server: answer,
    view: {
      load: answer.load,
      unreported: Math.max(0, readInFlight(answer.server) - answer.inFlightAtQuery),
      sameDataCentre: answer.server.dataCentre === dataCentre,
      cold: false,
      failureShare: 0,
      fullnessFactor: computeSaturationSlowdown(stateOf(kind.service).fullness)
    }
  })), readWork(kind))[0]

  const snapshotServer = (server: PlatformServer): QueriedServer => ({ server, load: server.readLoad(), inFlightAtQuery: readInFlight(server) })

  const createQueryingPolicy = (roundLimit: number): PolicyFunction => (kind, onChosen) => {
    const queriedBefore = new Set<PlatformServer>()
    const queryRound = (round: number, answered: QueriedServer[]): void => {
      const candidates = serversOf(kind.service)
        .filter(server => !queriedBefore.has(server))
        .map(server => ({ server, sameDataCentre: server.dataCentre === dataCentre, preferred: true, avoided: false }))
      const queried = selectServersToProbe({ candidates, round, random }).map(({ server }) => server)
      queried.forEach(server => {
        queriedBefore.add(server)
        options.onLoadQuery()
      })
      const answers: QueriedServer[] = []
      queried.forEach(server => time.schedule(oneWayMilliseconds(server), () => { answers.push(snapshotServer(server)) }))
      time.schedule(2 * Math.max(withinDataCentreMilliseconds, ...queried.map(oneWayMilliseconds)), () => {
        const all = [...answered, ...answers]
        const best = rank(all, kind)
        const isAcceptable = best !== undefined && best.hasRoom && best.estimate <= acceptableSlowdown * readWork(kind)
        if (isAcceptable || queried.length === 0 || round + 1 >= roundLimit) onChosen(best)
        else queryRound(round + 1, all)
      })
    }
    queryRound(0, [])
  }

  const chooseOmniscient: PolicyFunction = (kind, onChosen) => onChosen(rank(serversOf(kind.service).map(snapshotServer), kind))

  const policyFunctions: Record<PlatformPolicy, PolicyFunction> = {
    [PlatformPolicy.Random]: (kind, onChosen) => onChosen(rank(sample(random, serversOf(kind.service), 1).map(snapshotServer), kind)),
    [PlatformPolicy.TwoChoicesOwn]: (kind, onChosen) => {
      const [first] = sample(random, serversOf(kind.service), 2).sort((one, other) => readInFlight(one) - readInFlight(other))
      onChosen(first === undefined ? undefined : rank([snapshotServer(first)], kind))
    },
    [PlatformPolicy.QueryOnce]: createQueryingPolicy(1),
    [PlatformPolicy.QueryRounds]: createQueryingPolicy(maximumQueryRounds),
    [PlatformPolicy.Ours]: createQueryingPolicy(maximumQueryRounds),
    [PlatformPolicy.Omniscient]: chooseOmniscient,
    [PlatformPolicy.OmniscientAdmission]: chooseOmniscient
  }

  const isAdmitted = (kind: RequestKind, choice: RankedServer<QueriedServer>, elapsed: number): boolean => {
    const { pressure, correction } = stateOf(kind.service)
    const { load } = choice.server
    recordSelection(pressure, wouldBeNearSaturation(load.running + load.waiting, load.slots))
    return !policiesWithAdmission.has(policy) || decideAdmission({
      estimate: choice.estimate * correction.factor,
      elapsed,
      targetLatencyMilliseconds: kind.targetLatencyMilliseconds,
      left: kind.deadlineMilliseconds - elapsed,
      priority: kind.isLessImportant ? RequestPriority.Lower : RequestPriority.Highest,
      hasRoom: choice.hasRoom && !isOverloaded(pressure)
    }).admitted
  }

  const updateEstimates = (kind: RequestKind, { server: { load }, estimate }: RankedServer<QueriedServer>, milliseconds: number): void => {
    const { correction, fullness } = stateOf(kind.service)
    const usual = readWork(kind)
    updateCorrection(correction, estimate, milliseconds)
    work.record(kind.name, kind.targetLatencyMilliseconds, milliseconds)
    if (load.slowdown <= normalSlowdownLimit && load.waiting === 0) recordAnswerTime(fullness, wouldBeNearSaturation(load.running, load.slots), milliseconds / usual)
  }

  const send = ({ kind, workMilliseconds, onEnd }: SimulatedRequest, choice: RankedServer<QueriedServer>, arrivedAt: number): void => {
    const { server } = choice.server
    const sentAt = time.now
    inFlight.set(server, readInFlight(server) + 1)
    const finish = (end: RequestOutcome): void => time.schedule(oneWayMilliseconds(server), () => {
      inFlight.set(server, readInFlight(server) - 1)
      const isInTime = time.now - arrivedAt <= kind.deadlineMilliseconds
      if (end === RequestOutcome.Answered) updateEstimates(kind, choice, time.now - sentAt)
      onEnd(isInTime ? end : RequestOutcome.Failed)
    })
    time.schedule(oneWayMilliseconds(server), () => {
      if (!server.accept(workMilliseconds, () => finish(RequestOutcome.Answered))) finish(RequestOutcome.Failed)
    })
  }

  return request => {
    const arrivedAt = time.now
    policyFunctions[policy](request.kind, choice => {
      if (choice === undefined || !isAdmitted(request.kind, choice, time.now - arrivedAt)) request.onEnd(RequestOutcome.Refused)
      else send(request, choice, arrivedAt)
    })
  }
}
