// Schedules probes of the servers of a service and selects the load reports that are shared with peers.
//
// Each request adds `probesPerRequest` tokens and a probe costs one, so a rate of 0.1 probes once per ten
// requests. Servers are probed round robin in an order shuffled per host: this keeps the ages of the reports
// even, and hosts that start together do not probe the same server at the same time. Servers without
// normal traffic (leaving or ejected) are probed at a fixed interval instead, which detects a restart.
//
// Reports from this host's responses and probes are sent to a random peer in the same data centre at a
// fixed interval, only the latest per server. Reports received from peers are not forwarded. Each message
// is charged to the measuring budget first; messages that exceed the budget are dropped rather than queued,
// because an outdated measurement has little value.
import type { ProbingConfiguration } from '@siskinbeam/schema/bundle'
import { pickIndex, sample, type Random } from '@siskinbeam/random/createRandom'
import type { MeasuringCost } from '@siskinbeam/measuring-budget/takeMeasuringBudget'
import { ReportSource, type AgedReport, type LoadReport } from './loadReport.js'

/** Probing settings from the bundle. */
export type ProbingRule = Pick<ProbingConfiguration, 'probesPerRequest' | 'shareReportsWithPeers'>

export enum ProbingEventKind {
  ServersChanged = 'servers-changed',
  RuleChanged = 'rule-changed',
  /** A request of this service arrived. */
  RequestArrived = 'request-arrived',
  /** A load report was received in a response, from a probe, or from a peer. */
  Reported = 'reported',
  /** Sent by the control loop about every `tickMilliseconds`. */
  Tick = 'tick'
}

export type ProbingEvent =
  | { kind: ProbingEventKind.ServersChanged, servers: readonly string[] }
  | { kind: ProbingEventKind.RuleChanged, rule: ProbingRule }
  | { kind: ProbingEventKind.RequestArrived }
  | { kind: ProbingEventKind.Reported, server: string, report: LoadReport, source: ReportSource }
  /** Carries the servers with weight 0 and the live hosts in this data centre. */
  | { kind: ProbingEventKind.Tick, zeroWeightServers: readonly string[], peers: readonly string[] }

export enum ProbingCommandKind {
  Probe = 'probe',
  ShareReports = 'share-reports'
}

export type ProbingCommand =
  /** `newConnection` makes the probe open its own connection, which tests whether the server accepts connections. */
  | { kind: ProbingCommandKind.Probe, server: string, newConnection: boolean }
  | { kind: ProbingCommandKind.ShareReports, peer: string, reports: AgedReport[] }

/** Charges a cost to the measuring budget; returns false if the budget is exhausted. */
export type TakeBudget = (cost: MeasuringCost) => boolean

interface UnsharedReport {
  at: number
  report: LoadReport
}

export interface ProbingState {
  rule: ProbingRule
  /** Servers in round-robin probing order. */
  probeOrder: string[]
  nextProbeIndex: number
  /** Token bucket of probes: filled by requests, drained by probes. Below 1 between requests unless the budget refuses probes. */
  probeTokens: number
  /** Latest report per server that this host obtained since it last shared reports. */
  unsharedReports: Map<string, UnsharedReport>
  lastSharedAt: number
  lastZeroWeightProbeAt: number
}

export const tickMilliseconds = 20
// An interval of 20 ms or three peers per share costs two to three times the messages, for a gain within the
// variation between seeds.
export const shareIntervalMilliseconds = 50
const peersPerShare = 1
const maximumReportsPerShare = 32
const zeroWeightProbeIntervalMilliseconds = 500
// Limits the tokens that accumulate while the budget refuses probes, to avoid a burst afterwards.
const maximumProbeTokens = 2

// Upper bounds for one exchange in both directions. The processor time includes serialization and parsing.
export const probeCost: MeasuringCost = { messages: 1, bytes: 600, processorMilliseconds: 0.09 }
const shareCost: MeasuringCost = { messages: 1, bytes: 200, processorMilliseconds: 0.1 }
const bytesPerSharedReport = 40
const processorMillisecondsPerSharedReport = 0.002

/** Creates the state of a service without servers. */
export function createProbingState (rule: ProbingRule): ProbingState {
  return { rule, probeOrder: [], nextProbeIndex: 0, probeTokens: 0, unsharedReports: new Map(), lastSharedAt: Number.NEGATIVE_INFINITY, lastZeroWeightProbeAt: Number.NEGATIVE_INFINITY }
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

/** Processes one event and returns the probes and shares to send; their cost is already charged to the budget. */
export function stepProbing ({ event, ...context }: StepProbingOptions): ProbingCommand[] {
  const handle = handlers[event.kind] as (context: StepContext, event: ProbingEvent) => ProbingCommand[]
  return handle(context, event)
}

const noCommands: ProbingCommand[] = []

const handlers: Handlers = {
  [ProbingEventKind.ServersChanged]: ({ state, random }, { servers }) => {
    state.probeOrder = sample(random, servers, servers.length)
    state.nextProbeIndex = 0
    state.unsharedReports = new Map([...state.unsharedReports].filter(([server]) => servers.includes(server)))
    return noCommands
  },
  [ProbingEventKind.RuleChanged]: ({ state }, { rule }) => {
    state.rule = rule
    return noCommands
  },
  [ProbingEventKind.RequestArrived]: context => {
    const { state } = context
    state.probeTokens = Math.min(state.probeTokens + state.rule.probesPerRequest, Math.max(maximumProbeTokens, state.rule.probesPerRequest))
    const dueProbes = Math.floor(state.probeTokens)
    return dueProbes === 0 ? noCommands : Array.from({ length: dueProbes }, () => probeNext(context)).flat()
  },
  [ProbingEventKind.Reported]: ({ state, now }, { server, report, source }) => {
    if (source !== ReportSource.Peer && state.rule.shareReportsWithPeers) state.unsharedReports.set(server, { at: now, report })
    return noCommands
  },
  [ProbingEventKind.Tick]: (context, { zeroWeightServers, peers }) => [...probeZeroWeightServer(context, zeroWeightServers), ...shareReports(context, peers)]
}

function probeNext ({ state, takeBudget }: StepContext): ProbingCommand[] {
  const server = state.probeOrder[state.nextProbeIndex]
  if (server === undefined || !takeBudget(probeCost)) return noCommands
  state.nextProbeIndex = (state.nextProbeIndex + 1) % state.probeOrder.length
  state.probeTokens -= 1
  return [{ kind: ProbingCommandKind.Probe, server, newConnection: false }]
}

function probeZeroWeightServer ({ state, now, random, takeBudget }: StepContext, zeroWeightServers: readonly string[]): ProbingCommand[] {
  if (zeroWeightServers.length === 0 || now - state.lastZeroWeightProbeAt < zeroWeightProbeIntervalMilliseconds) return noCommands
  const server = zeroWeightServers[pickIndex(random, zeroWeightServers.length)] as string
  if (!takeBudget(probeCost)) return noCommands
  state.lastZeroWeightProbeAt = now
  // Charged to the same tokens, so that the rate per request also holds while servers are out of rotation.
  state.probeTokens = Math.max(-maximumProbeTokens, state.probeTokens - 1)
  return [{ kind: ProbingCommandKind.Probe, server, newConnection: true }]
}

function shareReports ({ state, now, random, takeBudget }: StepContext, peers: readonly string[]): ProbingCommand[] {
  if (!state.rule.shareReportsWithPeers || peers.length === 0 || state.unsharedReports.size === 0) return noCommands
  if (now - state.lastSharedAt < shareIntervalMilliseconds) return noCommands
  state.lastSharedAt = now
  const reports = [...state.unsharedReports]
    .map(([server, { at, report }]): AgedReport => ({ server, ageMilliseconds: now - at, report }))
    .sort((first, second) => first.ageMilliseconds - second.ageMilliseconds)
    .slice(0, maximumReportsPerShare)
  state.unsharedReports.clear()
  const cost: MeasuringCost = {
    messages: shareCost.messages,
    bytes: shareCost.bytes + bytesPerSharedReport * reports.length,
    processorMilliseconds: shareCost.processorMilliseconds + processorMillisecondsPerSharedReport * reports.length
  }
  return sample(random, peers, peersPerShare)
    .filter(() => takeBudget(cost))
    .map(peer => ({ kind: ProbingCommandKind.ShareReports, peer, reports }))
}
