// Scenarios and variants of the comparison: the two deployments of the design document, and the ways in which
// entry hosts choose servers.
import { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import { defaultTuning, type LoadAwareTuning } from '@siskinbeam/server-choice/choiceState'

/** Whether the work of a request is the same at every server or sampled for each execution. */
export enum WorkDraw {
  PerRequest = 'per-request',
  PerExecution = 'per-execution'
}

export interface Scenario {
  name: string
  servers: number
  slots: number
  dataCentres: number
  /** Arrival rate relative to the capacity of all servers, with noisy neighbours and counting stragglers as healthy. */
  load: number
  /** One in this many servers is a straggler; 0 disables stragglers. */
  stragglerEvery: number
  probesPerRequest: number
  /** Maximum number of queued requests per server. */
  queueLimit: number
  workDraw: WorkDraw
}

/** A configuration of server choice, shown as one line of the comparison. */
export interface Variant {
  name: string
  policy: LoadBalancingPolicy
  /** Ejection of stragglers and failing servers. */
  ejection: boolean
  probing: boolean
  sharing: boolean
  hedging: boolean
  tuning: LoadAwareTuning
}

export const entryHostCount = 20
export const meanServiceTimeMilliseconds = 20
export const serviceTimeSigma = 0.8
export const oneWayMilliseconds = 0.5
export const stragglerFactor = 10
export const hedgePercentile = 95
export const retryBudgetRatio = 0.1
export const maximumAttempts = 3
export const deadlineMilliseconds = 10_000

const trust: Scenario = { name: 'trust', servers: 25, slots: 3, dataCentres: 3, load: 0.7, stragglerEvery: 0, probesPerRequest: 1, queueLimit: 30, workDraw: WorkDraw.PerExecution }
const cascadia: Scenario = { name: 'cascadia', servers: 30, slots: 4, dataCentres: 4, load: 0.7, stragglerEvery: 0, probesPerRequest: 0.1, queueLimit: 40, workDraw: WorkDraw.PerExecution }

export const scenarios: Record<string, Scenario> = {
  trust,
  'trust-stragglers': { ...trust, name: 'trust-stragglers', load: 0.85, stragglerEvery: 8 },
  cascadia,
  /** The Cascadia workload with the probing rate of Trust, for the third design target. */
  'cascadia-as-trust': { ...cascadia, name: 'cascadia-as-trust', probesPerRequest: 1 },
  /** A request takes the same work at every server, so a hedge cannot be shorter by chance. */
  'trust-fixed-work': { ...trust, name: 'trust-fixed-work', workDraw: WorkDraw.PerRequest },
  'trust-short-queues': { ...trust, name: 'trust-short-queues', queueLimit: 2 },
  'trust-no-queues': { ...trust, name: 'trust-no-queues', queueLimit: 0 }
}

const baseline = { ejection: false, probing: false, sharing: false, hedging: false, tuning: defaultTuning }
const allFeatures = { policy: LoadBalancingPolicy.Ours, ejection: true, probing: true, sharing: true, hedging: true, tuning: defaultTuning }

export const variants: Record<string, Variant> = Object.fromEntries([
  { ...baseline, name: 'random', policy: LoadBalancingPolicy.Random },
  { ...baseline, name: 'round-robin', policy: LoadBalancingPolicy.RoundRobin },
  { ...baseline, name: 'two-choices-own', policy: LoadBalancingPolicy.TwoChoicesOwn },
  { ...baseline, name: 'two-choices-own-ejection', policy: LoadBalancingPolicy.TwoChoicesOwn, ejection: true },
  { ...baseline, name: 'two-choices-reported', policy: LoadBalancingPolicy.TwoChoicesReported, probing: true },
  { ...baseline, name: 'omniscient', policy: LoadBalancingPolicy.Omniscient },
  { ...baseline, name: 'omniscient-hedging', policy: LoadBalancingPolicy.Omniscient, hedging: true },
  { ...allFeatures, name: 'ours' },
  { ...allFeatures, name: 'ours-no-hedging', hedging: false },
  { ...allFeatures, name: 'ours-no-sharing', sharing: false },
  { ...allFeatures, name: 'ours-no-probing', probing: false },
  { ...allFeatures, name: 'ours-no-ejection', ejection: false }
].map((variant): [string, Variant] => [variant.name, variant]))
