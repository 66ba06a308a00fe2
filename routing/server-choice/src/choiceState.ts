// What one entry host knows of the servers of a service when it chooses among them.
import { createReportPool, defaultReportPoolLimits, type ReportPool, type ReportPoolLimits } from '@siskinbeam/probing/reportPool'
import type { LoadReport, ReportSource } from '@siskinbeam/probing/loadReport'

/** A server as the bundle describes it. */
export interface ChoiceServer {
  name: string
  slots: number
}

export enum ChoiceEventKind {
  ServersChanged = 'servers-changed',
  /** A request is about to be written. */
  Sent = 'sent',
  /** A request ended, other than by a shed. */
  Completed = 'completed',
  Reported = 'reported',
  /** The server refused to start a request. */
  Shed = 'shed'
}

export enum CompletionKind {
  /** A response arrived whole. */
  Responded = 'responded',
  /** The connection was lost or refused, time ran out, or the response was an error of the server. */
  Failed = 'failed',
  /** This host gave up, for example because a hedge responded first. */
  Cancelled = 'cancelled'
}

export type ChoiceEvent =
  | { kind: ChoiceEventKind.ServersChanged, servers: readonly ChoiceServer[] }
  | { kind: ChoiceEventKind.Sent, server: string }
  /** `latencyMilliseconds` is the time from the send. */
  | { kind: ChoiceEventKind.Completed, server: string, completion: CompletionKind, latencyMilliseconds: number }
  | { kind: ChoiceEventKind.Reported, server: string, report: LoadReport, source: ReportSource, ageMilliseconds: number }
  | { kind: ChoiceEventKind.Shed, server: string }

export interface ServerLoad {
  name: string
  slots: number
  /** Requests of this host that the server has. */
  ownInFlight: number
  /** The newest load known, in requests that run or wait. */
  reportedInFlight: number
  /** When the server was at that load; -Infinity if never. */
  reportedAt: number
  /** Own requests sent since, less those completed since. */
  ownChange: number
  /** Latency seen by this host, weighted to recent responses; undefined before the first. */
  latencyMilliseconds: number | undefined
  latencySeenAt: number
}

/** Constants of policy `ours`, measured by routing/policy-comparison. */
export interface OursTuning {
  /** Random servers considered besides the pool. */
  sampledServers: number
  /** A report keeps 1/e of its weight after this many mean latencies of the service. */
  reportLifetimeInLatencies: number
  /** Weight of the latency relative to the service's mean, from 0 (ignored) to 1. */
  latencyWeight: number
  pool: ReportPoolLimits
}

export interface ServerChoiceState {
  servers: ServerLoad[]
  byName: Map<string, ServerLoad>
  pool: ReportPool<ServerLoad>
  tuning: OursTuning
  nextRoundRobin: number
  /** Mean requests per slot over the reports seen, weighted to recent ones. */
  meanLoadPerSlot: number
  /** Mean latency of the service seen by this host, weighted to recent responses. */
  meanLatencyMilliseconds: number
}

export const defaultTuning: OursTuning = {
  sampledServers: 2,
  reportLifetimeInLatencies: 2,
  latencyWeight: 1,
  pool: defaultReportPoolLimits
}

const assumedLatencyMilliseconds = 20
const assumedLoadPerSlot = 0.5

/** Creates the state of a service without servers. */
export function createServerChoiceState (tuning: OursTuning = defaultTuning): ServerChoiceState {
  return {
    servers: [],
    byName: new Map(),
    pool: createReportPool(tuning.pool),
    tuning,
    nextRoundRobin: 0,
    meanLoadPerSlot: assumedLoadPerSlot,
    meanLatencyMilliseconds: assumedLatencyMilliseconds
  }
}

/** The record of a server of which nothing is known yet. */
export function createServerLoad ({ name, slots }: ChoiceServer): ServerLoad {
  return { name, slots, ownInFlight: 0, reportedInFlight: 0, reportedAt: Number.NEGATIVE_INFINITY, ownChange: 0, latencyMilliseconds: undefined, latencySeenAt: Number.NEGATIVE_INFINITY }
}
