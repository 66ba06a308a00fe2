// Scenarios and policies of the comparison. Servers, request kinds and request rates are those of the users'
// platform on an ordinary day.
import { SlowdownModel } from './platformServer.js'

/** A kind of request. Times are in milliseconds. */
export interface RequestKind {
  name: string
  service: string
  perSecond: number
  workMilliseconds: number
  targetLatencyMilliseconds: number
  deadlineMilliseconds: number
  /** Credit, the benchmark's score, for a response within the target latency; a later response earns a tenth of it. */
  worth: number
  /** Whether another kind of request to the same service is more important. */
  isLessImportant: boolean
  /** Whether a request that a server has failed may be sent to another one. */
  isRepeatable: boolean
}

export interface ScenarioService {
  name: string
  servers: number
  slots: number
  /** Maximum number of queued requests per server; further requests are shed. */
  queueLimit: number
}

/** Servers of a service that reset a part of the requests that they get, without running them to their end. */
export interface FailingServers {
  service: string
  /** Ratio of the servers of the service. */
  serversRatio: number
  /** Ratio of the requests that each of them fails. */
  failureRatio: number
  /** Whether hosts tell each other the outcomes of their sends. */
  isReported: boolean
}

export interface PlatformScenario {
  name: string
  hosts: number
  dataCentres: number
  /** One-way latency between data centres; within a data centre it is 0.1 ms. */
  betweenDataCentresMilliseconds: number
  /** Multiplier of the request rates of all kinds. */
  load: number
  workPace: SlowdownModel
  /** How much longer work takes that starts when nearly all slots of its server are in use. */
  saturationSlowdown: number
  services: ScenarioService[]
  kinds: RequestKind[]
  failing?: FailingServers
}

/** The policy by which a host chooses a server. */
export enum PlatformPolicy {
  /** A random server, without probes. */
  Random = 'random',
  /** The one of two random servers with fewer in-flight requests of this host, without probes. */
  TwoChoicesOwn = 'two-own',
  /** The best of three servers after one round of probes. */
  ProbeOnce = 'ask-once',
  /** Up to three rounds of three probes until an acceptable server is found; no request is refused. */
  ProbeRounds = 'ask-rounds',
  /** As `ProbeRounds`, with admission control as in the daemon. */
  Ours = 'ours',
  /** The best of all servers by their current load, without the cost of probes. */
  Omniscient = 'omniscient',
  /** As `Omniscient`, with admission control: the upper bound for admission with any server choice. */
  OmniscientAdmission = 'omniscient-admission'
}

const trust: PlatformScenario = {
  name: 'trust',
  hosts: 18,
  dataCentres: 3,
  betweenDataCentresMilliseconds: 0.9,
  load: 1,
  workPace: SlowdownModel.FixedAtStart,
  saturationSlowdown: 1,
  services: [
    { name: 'desk', servers: 24, slots: 3, queueLimit: 12 },
    { name: 'issuer', servers: 6, slots: 3, queueLimit: 12 }
  ],
  kinds: [
    { name: 'lookup', service: 'desk', perSecond: 46.5, workMilliseconds: 220, targetLatencyMilliseconds: 600, deadlineMilliseconds: 2_500, worth: 1, isLessImportant: true, isRepeatable: true },
    { name: 'booking', service: 'desk', perSecond: 19.1, workMilliseconds: 290, targetLatencyMilliseconds: 800, deadlineMilliseconds: 3_000, worth: 2, isLessImportant: false, isRepeatable: false },
    { name: 'grant', service: 'issuer', perSecond: 10.7, workMilliseconds: 150, targetLatencyMilliseconds: 400, deadlineMilliseconds: 2_000, worth: 3, isLessImportant: false, isRepeatable: false }
  ]
}

const cascadia: PlatformScenario = {
  name: 'cascadia',
  hosts: 22,
  dataCentres: 4,
  betweenDataCentresMilliseconds: 1.4,
  load: 1,
  workPace: SlowdownModel.FixedAtStart,
  saturationSlowdown: 1,
  services: [
    { name: 'roster', servers: 28, slots: 4, queueLimit: 12 },
    { name: 'ledger', servers: 8, slots: 4, queueLimit: 12 }
  ],
  kinds: [
    { name: 'view', service: 'roster', perSecond: 97.4, workMilliseconds: 160, targetLatencyMilliseconds: 400, deadlineMilliseconds: 2_000, worth: 1, isLessImportant: true, isRepeatable: true },
    { name: 'confirmation', service: 'roster', perSecond: 42.8, workMilliseconds: 210, targetLatencyMilliseconds: 500, deadlineMilliseconds: 2_500, worth: 2, isLessImportant: false, isRepeatable: false },
    { name: 'release', service: 'ledger', perSecond: 42.8, workMilliseconds: 110, targetLatencyMilliseconds: 300, deadlineMilliseconds: 1_200, worth: 3, isLessImportant: false, isRepeatable: false }
  ]
}

/** Two kinds of requests share the servers of a service: an urgent one with a tight target, and a plain one with a loose target. */
const sharedQueue: PlatformScenario = {
  name: 'shared-queue',
  hosts: 20,
  dataCentres: 3,
  betweenDataCentresMilliseconds: 0.9,
  load: 1,
  workPace: SlowdownModel.FixedAtStart,
  saturationSlowdown: 1.7,
  services: [{ name: 'records', servers: 10, slots: 6, queueLimit: 12 }],
  kinds: [
    { name: 'lookup', service: 'records', perSecond: 165, workMilliseconds: 220, targetLatencyMilliseconds: 600, deadlineMilliseconds: 1_500, worth: 1, isLessImportant: true, isRepeatable: true },
    { name: 'closing', service: 'records', perSecond: 60, workMilliseconds: 150, targetLatencyMilliseconds: 400, deadlineMilliseconds: 1_200, worth: 3, isLessImportant: false, isRepeatable: false }
  ]
}

export const platformScenarios: Record<string, PlatformScenario> = {
  trust,
  cascadia,
  'trust-overload': { ...trust, name: 'trust-overload', load: 3.5 },
  'cascadia-overload': { ...cascadia, name: 'cascadia-overload', load: 3.5 },
  'shared-queue': sharedQueue,
  'trust-failing': { ...trust, name: 'trust-failing', failing: twoFifthsFailing('desk') },
  'trust-failing-burst': { ...trust, name: 'trust-failing-burst', load: 2, failing: twoFifthsFailing('desk') },
  'cascadia-failing': { ...cascadia, name: 'cascadia-failing', failing: twoFifthsFailing('roster') },
  'cascadia-failing-burst': { ...cascadia, name: 'cascadia-failing-burst', load: 2, failing: twoFifthsFailing('roster') },
  'shared-queue-failing': { ...sharedQueue, name: 'shared-queue-failing', load: 0.6, failing: twoFifthsFailing('records') }
}

/** Two fifths of a service reset half of what they get, as on days with answers that are lost. */
function twoFifthsFailing (service: string): FailingServers {
  return { service, serversRatio: 0.4, failureRatio: 0.5, isReported: true }
}
