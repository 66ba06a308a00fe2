// State and events of server choice: what one entry host knows about the servers of a service.
import { createReportPool, defaultReportPoolLimits, type ReportPool, type ReportPoolLimits } from '@siskinbeam/probing/reportPool'
import type { LoadReport, ReportSource } from '@siskinbeam/probing/loadReport'

/** A server as configured in the bundle. */
export interface ChoiceServer {
  name: string
  slots: number
}

export enum ChoiceEventKind {
  ServersChanged = 'servers-changed',
  /** A request is about to be sent. */
  Sent = 'sent',
  /** A request ended in any way other than being shed. */
  Completed = 'completed',
  Reported = 'reported',
  /** The server refused to start a request. */
  Shed = 'shed'
}

export enum CompletionKind {
  /** A complete response was received. */
  Responded = 'responded',
  /** The connection was lost or refused, the request timed out, or the response was a server error. */
  Failed = 'failed',
  /** This host cancelled the request, for example because a hedge responded first. */
  Cancelled = 'cancelled'
}

export type ChoiceEvent =
  | { kind: ChoiceEventKind.ServersChanged, servers: readonly ChoiceServer[] }
  | { kind: ChoiceEventKind.Sent, server: string }
  /** `latencyMilliseconds` is the time since the request was sent. */
  | { kind: ChoiceEventKind.Completed, server: string, completion: CompletionKind, latencyMilliseconds: number }
  | { kind: ChoiceEventKind.Reported, server: string, report: LoadReport, source: ReportSource, ageMilliseconds: number }
  | { kind: ChoiceEventKind.Shed, server: string }

/** What this host knows about a server from its own requests and from load reports. */
export interface ServerStatistics {
  name: string
  slots: number
  /** In-flight requests that this host sent to the server. */
  ownInFlight: number
  /** Running and queued requests according to the latest report. */
  reportedInFlight: number
  /** When the server had that load, in milliseconds of this host's clock; -Infinity if there was no report. */
  reportedAt: number
  /** Change of the own in-flight requests since that report. */
  ownInFlightDelta: number
  /** Exponential moving average of the latency measured by this host; undefined before the first response. */
  latencyMilliseconds: number | undefined
  latencyUpdatedAt: number
}

/** Parameters of the policy `ours`. `routing/policy-comparison` compares values. */
export interface LoadAwareTuning {
  /** Number of random servers considered in addition to the report pool. */
  sampledServers: number
  /** Time constant of the decay of a report, in mean latencies of the service: its weight is then 1/e. */
  reportLifetimeInLatencies: number
  /** Weight of a server's latency relative to the mean of the service, from 0 (ignored) to 1. */
  latencyWeight: number
  pool: ReportPoolLimits
}

export interface ServerChoiceState {
  servers: ServerStatistics[]
  byName: Map<string, ServerStatistics>
  pool: ReportPool<ServerStatistics>
  tuning: LoadAwareTuning
  nextRoundRobin: number
  /** Exponential moving average of the requests per slot over all reports. */
  meanLoadPerSlot: number
  /** Exponential moving average of the service's latency measured by this host. */
  meanLatencyMilliseconds: number
}

export const defaultTuning: LoadAwareTuning = {
  sampledServers: 2,
  reportLifetimeInLatencies: 2,
  latencyWeight: 1,
  pool: defaultReportPoolLimits
}

const initialLatencyMilliseconds = 20
const initialLoadPerSlot = 0.5

/** Creates the state of a service without servers. */
export function createServerChoiceState (tuning: LoadAwareTuning = defaultTuning): ServerChoiceState {
  return {
    servers: [],
    byName: new Map(),
    pool: createReportPool(tuning.pool),
    tuning,
    nextRoundRobin: 0,
    meanLoadPerSlot: initialLoadPerSlot,
    meanLatencyMilliseconds: initialLatencyMilliseconds
  }
}

/** Creates the record of a server without reports or responses. */
export function createServerStatistics ({ name, slots }: ChoiceServer): ServerStatistics {
  return { name, slots, ownInFlight: 0, reportedInFlight: 0, reportedAt: Number.NEGATIVE_INFINITY, ownInFlightDelta: 0, latencyMilliseconds: undefined, latencyUpdatedAt: Number.NEGATIVE_INFINITY }
}
