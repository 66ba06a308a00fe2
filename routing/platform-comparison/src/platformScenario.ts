// The scenarios of the comparison: servers, kinds of requests and their rates as the users' platform has
// them on an ordinary day, and the ways to choose a server.
import { SlowdownModel } from './platformServer.js'

/** One kind of requests. Times are milliseconds. */
export interface RequestKind {
  name: string
  service: string
  perSecond: number
  workMilliseconds: number
  targetLatencyMilliseconds: number
  deadlineMilliseconds: number
  /** Credit for an answer within the target latency; a later one earns a tenth. */
  worth: number
  /** Another kind of the same service is more important. */
  isLessImportant: boolean
}

export interface ScenarioService {
  name: string
  servers: number
  slots: number
  /** Requests that wait at a server before it sheds. */
  queueLimit: number
}

export interface PlatformScenario {
  name: string
  hosts: number
  dataCentres: number
  /** One way between data centres; within one it is a tenth of a millisecond. */
  betweenDataCentresMilliseconds: number
  /** Multiplies the rates of all kinds. */
  load: number
  workPace: SlowdownModel
  services: ScenarioService[]
  kinds: RequestKind[]
}

/** How a host chooses a server. */
export enum PlatformPolicy {
  /** A random server, without a question. */
  Random = 'random',
  /** The host's own sends to two random servers are compared, without a question. */
  TwoChoicesOwn = 'two-own',
  /** Three servers are asked once. */
  QueryOnce = 'ask-once',
  /** Three servers are asked, and three more up to twice while none is good; nobody is refused. */
  QueryRounds = 'ask-rounds',
  /** The same with admission, as the daemon does it. */
  Ours = 'ours',
  /** All servers are known at the moment of the send, at no cost. */
  Omniscient = 'omniscient',
  /** The same with admission: the limit of what admission can reach by any choice. */
  OmniscientAdmission = 'omniscient-admission'
}

const trust: PlatformScenario = {
  name: 'trust',
  hosts: 18,
  dataCentres: 3,
  betweenDataCentresMilliseconds: 0.9,
  load: 1,
  workPace: SlowdownModel.FixedAtStart,
  services: [
    { name: 'desk', servers: 24, slots: 3, queueLimit: 12 },
    { name: 'issuer', servers: 6, slots: 3, queueLimit: 12 }
  ],
  kinds: [
    { name: 'lookup', service: 'desk', perSecond: 46.5, workMilliseconds: 220, targetLatencyMilliseconds: 600, deadlineMilliseconds: 2_500, worth: 1, isLessImportant: true },
    { name: 'booking', service: 'desk', perSecond: 19.1, workMilliseconds: 290, targetLatencyMilliseconds: 800, deadlineMilliseconds: 3_000, worth: 2, isLessImportant: false },
    { name: 'grant', service: 'issuer', perSecond: 10.7, workMilliseconds: 150, targetLatencyMilliseconds: 400, deadlineMilliseconds: 2_000, worth: 3, isLessImportant: false }
  ]
}

const cascadia: PlatformScenario = {
  name: 'cascadia',
  hosts: 22,
  dataCentres: 4,
  betweenDataCentresMilliseconds: 1.4,
  load: 1,
  workPace: SlowdownModel.FixedAtStart,
  services: [
    { name: 'roster', servers: 28, slots: 4, queueLimit: 12 },
    { name: 'ledger', servers: 8, slots: 4, queueLimit: 12 }
  ],
  kinds: [
    { name: 'view', service: 'roster', perSecond: 97.4, workMilliseconds: 160, targetLatencyMilliseconds: 400, deadlineMilliseconds: 2_000, worth: 1, isLessImportant: true },
    { name: 'confirmation', service: 'roster', perSecond: 42.8, workMilliseconds: 210, targetLatencyMilliseconds: 500, deadlineMilliseconds: 2_500, worth: 2, isLessImportant: false },
    { name: 'release', service: 'ledger', perSecond: 42.8, workMilliseconds: 110, targetLatencyMilliseconds: 300, deadlineMilliseconds: 1_200, worth: 3, isLessImportant: false }
  ]
}

export const platformScenarios: Record<string, PlatformScenario> = {
  trust,
  cascadia,
  'trust-overload': { ...trust, name: 'trust-overload', load: 3.5 },
  'cascadia-overload': { ...cascadia, name: 'cascadia-overload', load: 3.5 }
}
