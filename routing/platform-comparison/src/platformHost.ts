// An entry host of the users' platform in virtual time. Servers are asked, ranked and sent to by the
// decision modules that the daemon uses; a choice is looked up by the policy.
import { decideAdmission, Importance } from '@siskinbeam/admission/decideAdmission'
import { createPressure, isOverloaded, noteChoice, type PressureState } from '@siskinbeam/admission/overloadPressure'
import { createWorkEstimates } from '@siskinbeam/platform-host/requestPath/workEstimates'
import type { VirtualTime } from '@siskinbeam/policy-comparison/eventQueue'
import { sample, type Random } from '@siskinbeam/random/createRandom'
import { chooseAsked } from '@siskinbeam/server-ranking/chooseAsked'
import { createCorrection, noteEstimate, type CorrectionState } from '@siskinbeam/server-ranking/estimateCorrection'
import { createFullness, noteAnswerTime, readFullnessFactor, wouldBeNearlyFull, type FullnessState } from '@siskinbeam/server-ranking/fullnessFactor'
import { rankServers, type RankedServer, type ServerLoad } from '@siskinbeam/server-ranking/rankServers'
import { PlatformPolicy, type PlatformScenario, type RequestKind } from './platformScenario.js'
import type { PlatformServer } from './platformServer.js'

/** How a request ended. */
export enum RequestEnd {
  Answered = 'answered',
  /** Refused by the host before a send. */
  Refused = 'refused',
  /** Shed by the servers, or not answered by the deadline. */
  Failed = 'failed'
}

export interface PlatformHostOptions {
  time: VirtualTime
  random: Random
  dataCentre: number
  scenario: PlatformScenario
  policy: PlatformPolicy
  serversOf: ReadonlyMap<string, PlatformServer[]>
  onQuestion: () => void
}

export interface SimulatedRequest {
  kind: RequestKind
  workMilliseconds: number
  onEnd: (end: RequestEnd) => void
}

interface AskedServer {
  server: PlatformServer
  load: ServerLoad
  inFlightWhenAsked: number
}

type Choice = RankedServer<AskedServer> | undefined
type Choose = (kind: RequestKind, onChosen: (choice: Choice) => void) => void

/** What a host has learnt of a service. */
interface ServiceState {
  pressure: PressureState
  correction: CorrectionState
  fullness: FullnessState
}

/** The daemon's constants: `chooseServer` and `dispatchRequest` of `daemon/platform-host`. */
const acceptableSlowdown = 1.6
const usualPace = 1.2
const rounds = 3
/** One way, from the platform's site files. */
const inDataCentreMilliseconds = 0.1
const admittingPolicies = new Set([PlatformPolicy.Ours, PlatformPolicy.OmniscientAdmission])

/** Creates a host. */
export function createPlatformHost (options: PlatformHostOptions): (request: SimulatedRequest) => void {
  const { time, random, dataCentre, scenario, policy } = options
  const inFlight = new Map<PlatformServer, number>()
  const work = createWorkEstimates()
  const states = new Map<string, ServiceState>(scenario.services.map(({ name }) => [name, { pressure: createPressure(), correction: createCorrection(), fullness: createFullness() }]))
  const stateOf = (service: string): ServiceState => {
    const state = states.get(service)
    if (state === undefined) throw new Error(`service "${service}" is not part of scenario "${scenario.name}"`)
    return state
  }
  const serversOf = (service: string): PlatformServer[] => options.serversOf.get(service) ?? []
  const readInFlight = (server: PlatformServer): number => inFlight.get(server) ?? 0
  const oneWay = (server: PlatformServer): number => server.dataCentre === dataCentre ? inDataCentreMilliseconds : scenario.betweenDataCentresMilliseconds
  const readWork = ({ name, targetLatencyMilliseconds }: RequestKind): number => work.read(name, targetLatencyMilliseconds)

  const rank = (asked: AskedServer[], kind: RequestKind): Choice => rankServers(asked.map(answer => ({
    server: answer,
    view: {
      load: answer.load,
      unreported: Math.max(0, readInFlight(answer.server) - answer.inFlightWhenAsked),
      sameDataCentre: answer.server.dataCentre === dataCentre,
      cold: false,
      failureShare: 0,
      fullnessFactor: readFullnessFactor(stateOf(kind.service).fullness)
    }
  })), readWork(kind))[0]

  const look = (server: PlatformServer): AskedServer => ({ server, load: server.readLoad(), inFlightWhenAsked: readInFlight(server) })

  const ask = (mostRounds: number): Choose => (kind, onChosen) => {
    const askedBefore = new Set<PlatformServer>()
    const askRound = (round: number, answered: AskedServer[]): void => {
      const candidates = serversOf(kind.service)
        .filter(server => !askedBefore.has(server))
        .map(server => ({ server, sameDataCentre: server.dataCentre === dataCentre, preferred: true, avoided: false }))
      const asked = chooseAsked({ candidates, round, random }).map(({ server }) => server)
      asked.forEach(server => {
        askedBefore.add(server)
        options.onQuestion()
      })
      const answers: AskedServer[] = []
      asked.forEach(server => time.schedule(oneWay(server), () => { answers.push(look(server)) }))
      time.schedule(2 * Math.max(inDataCentreMilliseconds, ...asked.map(oneWay)), () => {
        const all = [...answered, ...answers]
        const best = rank(all, kind)
        const isGood = best !== undefined && best.hasRoom && best.estimate <= acceptableSlowdown * readWork(kind)
        if (isGood || asked.length === 0 || round + 1 >= mostRounds) onChosen(best)
        else askRound(round + 1, all)
      })
    }
    askRound(0, [])
  }

  const takeKnown: Choose = (kind, onChosen) => onChosen(rank(serversOf(kind.service).map(look), kind))

  const choose: Record<PlatformPolicy, Choose> = {
    [PlatformPolicy.Random]: (kind, onChosen) => onChosen(rank(sample(random, serversOf(kind.service), 1).map(look), kind)),
    [PlatformPolicy.TwoOwn]: (kind, onChosen) => {
      const [first] = sample(random, serversOf(kind.service), 2).sort((one, other) => readInFlight(one) - readInFlight(other))
      onChosen(first === undefined ? undefined : rank([look(first)], kind))
    },
    [PlatformPolicy.AskOnce]: ask(1),
    [PlatformPolicy.AskRounds]: ask(rounds),
    [PlatformPolicy.Ours]: ask(rounds),
    [PlatformPolicy.Omniscient]: takeKnown,
    [PlatformPolicy.OmniscientAdmission]: takeKnown
  }

  const mayBeSent = (kind: RequestKind, choice: RankedServer<AskedServer>, elapsed: number): boolean => {
    const { pressure, correction } = stateOf(kind.service)
    const { load } = choice.server
    noteChoice(pressure, wouldBeNearlyFull(load.running + load.waiting, load.slots))
    return !admittingPolicies.has(policy) || decideAdmission({
      estimate: choice.estimate * correction.factor,
      elapsed,
      targetLatencyMilliseconds: kind.targetLatencyMilliseconds,
      left: kind.deadlineMilliseconds - elapsed,
      importance: kind.isLessImportant ? Importance.Less : Importance.Most,
      hasRoom: choice.hasRoom && !isOverloaded(pressure)
    }).admitted
  }

  const learn = (kind: RequestKind, { server: { load }, estimate }: RankedServer<AskedServer>, milliseconds: number): void => {
    const { correction, fullness } = stateOf(kind.service)
    const usual = readWork(kind)
    noteEstimate(correction, estimate, milliseconds)
    work.note(kind.name, kind.targetLatencyMilliseconds, milliseconds)
    if (load.pace <= usualPace && load.waiting === 0) noteAnswerTime(fullness, wouldBeNearlyFull(load.running, load.slots), milliseconds / usual)
  }

  const send = ({ kind, workMilliseconds, onEnd }: SimulatedRequest, choice: RankedServer<AskedServer>, arrivedAt: number): void => {
    const { server } = choice.server
    const sentAt = time.now
    inFlight.set(server, readInFlight(server) + 1)
    const finish = (end: RequestEnd): void => time.schedule(oneWay(server), () => {
      inFlight.set(server, readInFlight(server) - 1)
      const isInTime = time.now - arrivedAt <= kind.deadlineMilliseconds
      if (end === RequestEnd.Answered) learn(kind, choice, time.now - sentAt)
      onEnd(isInTime ? end : RequestEnd.Failed)
    })
    time.schedule(oneWay(server), () => {
      if (!server.accept(workMilliseconds, () => finish(RequestEnd.Answered))) finish(RequestEnd.Failed)
    })
  }

  return request => {
    const arrivedAt = time.now
    choose[policy](request.kind, choice => {
      if (choice === undefined || !mayBeSent(request.kind, choice, time.now - arrivedAt)) request.onEnd(RequestEnd.Refused)
      else send(request, choice, arrivedAt)
    })
  }
}
