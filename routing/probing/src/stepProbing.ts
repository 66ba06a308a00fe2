// Which servers of a service to probe and when, and which load reports to pass to peers.
//
// Each request earns `probesPerRequest` of a probe, so a rate of 0.1 probes once in ten requests. The
// servers are probed in turn, in an order shuffled for this host: each report is then as old as any
// other, and hosts that start together do not probe the same server at the same time. Servers without
// normal traffic (leaving, ejected) are probed by time instead, which is how a new boot is found.
//
// Reports from this host's responses and probes are collected and sent to a random peer of the same data
// centre at a fixed interval, the newest per server. Reports received from peers are never passed on.
// Everything sent is taken from the measuring budget first; what is refused is dropped, not queued,
// since a late measurement is worth little.
import type { MeasuringRule } from '@siskinbeam/schema/bundle'
import { pickIndex, sample, type Random } from '@siskinbeam/random/createRandom'
import type { MeasuringCost } from '@siskinbeam/measuring-budget/takeMeasuringBudget'
import { ReportSource, type AgedReport, type LoadReport } from './loadReport.js'

/** The part of the bundle that governs probing. */
export type ProbingRule = Pick<MeasuringRule, 'probesPerRequest' | 'shareReportsWithPeers'>

export enum ProbingEventKind {
  ServersChanged = 'servers-changed',
  RuleChanged = 'rule-changed',
  /** A request of this service arrived. */
  RequestArrived = 'request-arrived',
  /** A load report arrived by a response or a probe of this host, or from a peer. */
  Reported = 'reported',
  /** Called about every `tickMilliseconds` by the control loop. */
  Tick = 'tick'
}

export type ProbingEvent =
  | { kind: ProbingEventKind.ServersChanged, servers: readonly string[] }
  | { kind: ProbingEventKind.RuleChanged, rule: ProbingRule }
  | { kind: ProbingEventKind.RequestArrived }
  | { kind: ProbingEventKind.Reported, server: string, report: LoadReport, source: ReportSource }
  /** `idle` are the servers of weight 0; `peers` the live hosts of this data centre. */
  | { kind: ProbingEventKind.Tick, idle: readonly string[], peers: readonly string[] }

export enum ProbingCommandKind {
  Probe = 'probe',
  ShareReports = 'share-reports'
}

export type ProbingCommand =
  /** `newConnection` asks for a connection opened by this probe, which shows whether the server accepts any. */
  | { kind: ProbingCommandKind.Probe, server: string, newConnection: boolean }
  | { kind: ProbingCommandKind.ShareReports, peer: string, reports: AgedReport[] }

/** Books a cost on the measuring budget; false if it is exhausted. */
export type TakeBudget = (cost: MeasuringCost) => boolean

interface CollectedReport {
  at: number
  report: LoadReport
}

export interface ProbingState {
  rule: ProbingRule
  /** Servers in the order in which they are probed. */
  order: string[]
  nextInOrder: number
  /** Probes earned by requests and not yet started; below 1 between requests. */
  credit: number
  /** Reports of this host since they were last shared. */
  collected: Map<string, CollectedReport>
  sharedAt: number
  idleProbedAt: number
}

export const tickMilliseconds = 20
// Measured: 20 ms or three peers cost two to three times the messages and gain nothing beyond the spread of the seeds.
export const shareIntervalMilliseconds = 50
const peersPerShare = 1
const reportsPerShare = 32
const idleProbeIntervalMilliseconds = 500
// The credit that may accumulate while the budget refuses; more would come out as a burst.
const maximumCredit = 2

// Upper bounds of one exchange, both directions. The processor time includes building and parsing.
export const probeCost: MeasuringCost = { messages: 1, bytes: 600, processorMilliseconds: 0.09 }
const shareCost: MeasuringCost = { messages: 1, bytes: 200, processorMilliseconds: 0.1 }
const bytesPerSharedReport = 40
const processorMillisecondsPerSharedReport = 0.002

/** Creates the state of a service without servers. */
export function createProbingState (rule: ProbingRule): ProbingState {
  return { rule, order: [], nextInOrder: 0, credit: 0, collected: new Map(), sharedAt: Number.NEGATIVE_INFINITY, idleProbedAt: Number.NEGATIVE_INFINITY }
}

export interface StepProbingOptions {
  state: ProbingState
  event: ProbingEvent
  now: number
  random: Random
  takeBudget: TakeBudget
}

interface StepContext {
  state: ProbingState
  now: number
  random: Random
  takeBudget: TakeBudget
}

type EventOf<Kind extends ProbingEventKind> = Extract<ProbingEvent, { kind: Kind }>
type Handlers = { [Kind in ProbingEventKind]: (context: StepContext, event: EventOf<Kind>) => ProbingCommand[] }

/** Takes one event and gives the measurements to start; their cost is already booked. */
export function stepProbing ({ event, ...context }: StepProbingOptions): ProbingCommand[] {
  const handle = handlers[event.kind] as (context: StepContext, event: ProbingEvent) => ProbingCommand[]
  return handle(context, event)
}

const nothing: ProbingCommand[] = []

const handlers: Handlers = {
  [ProbingEventKind.ServersChanged]: ({ state, random }, { servers }) => {
    state.order = sample(random, servers, servers.length)
    state.nextInOrder = 0
    state.collected = new Map([...state.collected].filter(([server]) => servers.includes(server)))
    return nothing
  },
  [ProbingEventKind.RuleChanged]: ({ state }, { rule }) => {
    state.rule = rule
    return nothing
  },
  [ProbingEventKind.RequestArrived]: context => {
    const { state } = context
    state.credit = Math.min(state.credit + state.rule.probesPerRequest, Math.max(maximumCredit, state.rule.probesPerRequest))
    const due = Math.floor(state.credit)
    return due === 0 ? nothing : Array.from({ length: due }, () => probeNext(context)).flat()
  },
  [ProbingEventKind.Reported]: ({ state, now }, { server, report, source }) => {
    if (source !== ReportSource.Peer && state.rule.shareReportsWithPeers) state.collected.set(server, { at: now, report })
    return nothing
  },
  [ProbingEventKind.Tick]: (context, { idle, peers }) => [...probeIdle(context, idle), ...shareReports(context, peers)]
}

function probeNext ({ state, takeBudget }: StepContext): ProbingCommand[] {
  const server = state.order[state.nextInOrder]
  if (server === undefined || !takeBudget(probeCost)) return nothing
  state.nextInOrder = (state.nextInOrder + 1) % state.order.length
  state.credit -= 1
  return [{ kind: ProbingCommandKind.Probe, server, newConnection: false }]
}

function probeIdle ({ state, now, random, takeBudget }: StepContext, idle: readonly string[]): ProbingCommand[] {
  if (idle.length === 0 || now - state.idleProbedAt < idleProbeIntervalMilliseconds) return nothing
  const server = idle[pickIndex(random, idle.length)] as string
  if (!takeBudget(probeCost)) return nothing
  state.idleProbedAt = now
  // Counts toward the probes that requests earn, so that the rate for each request holds with servers out.
  state.credit = Math.max(-maximumCredit, state.credit - 1)
  return [{ kind: ProbingCommandKind.Probe, server, newConnection: true }]
}

function shareReports ({ state, now, random, takeBudget }: StepContext, peers: readonly string[]): ProbingCommand[] {
  if (!state.rule.shareReportsWithPeers || peers.length === 0 || state.collected.size === 0) return nothing
  if (now - state.sharedAt < shareIntervalMilliseconds) return nothing
  state.sharedAt = now
  const reports = [...state.collected]
    .map(([server, { at, report }]): AgedReport => ({ server, ageMilliseconds: now - at, report }))
    .sort((first, second) => first.ageMilliseconds - second.ageMilliseconds)
    .slice(0, reportsPerShare)
  state.collected.clear()
  const cost: MeasuringCost = {
    messages: shareCost.messages,
    bytes: shareCost.bytes + bytesPerSharedReport * reports.length,
    processorMilliseconds: shareCost.processorMilliseconds + processorMillisecondsPerSharedReport * reports.length
  }
  return sample(random, peers, peersPerShare)
    .filter(() => takeBudget(cost))
    .map(peer => ({ kind: ProbingCommandKind.ShareReports, peer, reports }))
}
