// What is simulated: the two settings of the design page, and how the entry hosts choose.
import { Policy } from '@siskinbeam/schema/bundle'
import { defaultTuning, type OursTuning } from '@siskinbeam/server-choice/choiceState'

/** Whether the work of a request is the same at every server, or drawn anew at each. */
export enum WorkDraw {
  PerRequest = 'per-request',
  PerExecution = 'per-execution'
}

export interface Scenario {
  name: string
  servers: number
  slots: number
  dataCentres: number
  /** Arrival rate relative to the work that all servers together can do, noise included, stragglers not. */
  load: number
  /** One server in this many is a straggler; 0 for none. */
  stragglerEvery: number
  probesPerRequest: number
  /** Requests that may wait at a server. */
  queueLimit: number
  workDraw: WorkDraw
}

/** How one line of the comparison chooses. */
export interface Variant {
  name: string
  policy: Policy
  /** Ejection of stragglers and failing servers. */
  ejection: boolean
  probing: boolean
  sharing: boolean
  hedging: boolean
  tuning: OursTuning
}

export const entryHosts = 20
export const meanWorkMilliseconds = 20
export const workSigma = 0.8
export const oneWayMilliseconds = 0.5
export const stragglerFactor = 10
export const hedgePercentile = 95
export const budgetShare = 0.1
export const maximumAttempts = 3
export const deadlineMilliseconds = 10_000

const trust: Scenario = { name: 'trust', servers: 25, slots: 3, dataCentres: 3, load: 0.7, stragglerEvery: 0, probesPerRequest: 1, queueLimit: 30, workDraw: WorkDraw.PerExecution }
const cascadia: Scenario = { name: 'cascadia', servers: 30, slots: 4, dataCentres: 4, load: 0.7, stragglerEvery: 0, probesPerRequest: 0.1, queueLimit: 40, workDraw: WorkDraw.PerExecution }

export const scenarios: Record<string, Scenario> = {
  trust,
  'trust-stragglers': { ...trust, name: 'trust-stragglers', load: 0.85, stragglerEvery: 8 },
  cascadia,
  /** The workload of Cascadia measured as in the Trust setting, for the third target. */
  'cascadia-as-trust': { ...cascadia, name: 'cascadia-as-trust', probesPerRequest: 1 },
  /** Large requests are large at every server, so a hedge cannot draw a shorter one. */
  'trust-fixed-work': { ...trust, name: 'trust-fixed-work', workDraw: WorkDraw.PerRequest },
  'trust-short-queues': { ...trust, name: 'trust-short-queues', queueLimit: 2 },
  'trust-no-queues': { ...trust, name: 'trust-no-queues', queueLimit: 0 }
}

const plain = { ejection: false, probing: false, sharing: false, hedging: false, tuning: defaultTuning }
const full = { policy: Policy.Ours, ejection: true, probing: true, sharing: true, hedging: true, tuning: defaultTuning }

export const variants: Record<string, Variant> = Object.fromEntries([
  { ...plain, name: 'random', policy: Policy.Random },
  { ...plain, name: 'round-robin', policy: Policy.RoundRobin },
  { ...plain, name: 'two-choices-own', policy: Policy.TwoChoicesOwn },
  { ...plain, name: 'two-choices-own-ejection', policy: Policy.TwoChoicesOwn, ejection: true },
  { ...plain, name: 'two-choices-reported', policy: Policy.TwoChoicesReported, probing: true },
  { ...plain, name: 'omniscient', policy: Policy.Omniscient },
  { ...plain, name: 'omniscient-hedging', policy: Policy.Omniscient, hedging: true },
  { ...full, name: 'ours' },
  { ...full, name: 'ours-no-hedging', hedging: false },
  { ...full, name: 'ours-no-sharing', sharing: false },
  { ...full, name: 'ours-no-probing', probing: false },
  { ...full, name: 'ours-no-ejection', ejection: false }
].map((variant): [string, Variant] => [variant.name, variant]))
