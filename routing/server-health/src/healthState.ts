// Types of the health of one service's servers, as one entry host sees it.

/** Why a server counts as leaving. */
export enum DrainSign {
  /** `server-state: draining` on a response. */
  Header = 'header',
  /** A connection that the server refused. */
  RefusedConnection = 'refused-connection',
  /** `leaving` in the host list. */
  HostList = 'host-list'
}

/** Why a server was ejected. */
export enum EjectionReason {
  ConsecutiveFailures = 'consecutive-failures',
  SustainedStraggling = 'sustained-straggling'
}

export enum HealthEventKind {
  /** The servers in use changed: new bundle or new subset. */
  ServersChanged = 'servers-changed',
  /** A request is about to be written to a server. */
  Sent = 'sent',
  /** A response to a request arrived whole. */
  Responded = 'responded',
  /** A request failed at the server: connection lost, time out, malformed response, status 5xx other than shedding. */
  Failed = 'failed',
  ConnectionRefused = 'connection-refused',
  /** A probe was answered. */
  ProbeAnswered = 'probe-answered',
  /** The host list was read. */
  HostListRead = 'host-list-read'
}

/** What every response says about its server; undefined where the header is missing. */
export interface ServerSigns {
  boot?: string | undefined
  draining: boolean
}

export type HealthEvent =
  | { kind: HealthEventKind.ServersChanged, servers: readonly string[] }
  | { kind: HealthEventKind.Sent, server: string }
  /**
   * `latencyMilliseconds` is without the round trip to the server's data centre, or a far server would count
   * as a straggler. It is left out for responses that say nothing of the server's speed, such as sheds.
   */
  | { kind: HealthEventKind.Responded, server: string, signs: ServerSigns, latencyMilliseconds?: number }
  /** `signs` is given if the failure was a response, for example with status 500. */
  | { kind: HealthEventKind.Failed, server: string, signs?: ServerSigns }
  | { kind: HealthEventKind.ConnectionRefused, server: string }
  /** `newConnection` tells that the probe opened its connection itself, after `sentAt`. */
  | { kind: HealthEventKind.ProbeAnswered, server: string, signs: ServerSigns, newConnection: boolean, sentAt: number }
  /** Servers that the host list calls leaving; the others count as live. */
  | { kind: HealthEventKind.HostListRead, leaving: ReadonlySet<string> }

export enum HealthCommandKind {
  /** The server is leaving: close its idle connections, finish what is in flight. */
  StopSending = 'stop-sending',
  Eject = 'eject',
  /** The server gets work again, by slow start. */
  Reinstate = 'reinstate'
}

export type HealthCommand =
  | { kind: HealthCommandKind.StopSending, server: string, sign: DrainSign }
  | { kind: HealthCommandKind.Eject, server: string, reason: EjectionReason, untilMilliseconds: number }
  | { kind: HealthCommandKind.Reinstate, server: string }

/** A sign that the server is leaving. */
export interface Leaving {
  sign: DrainSign
  since: number
  /** The boot known when the sign appeared. */
  boot: string | undefined
  /** Whether the server itself can contradict the sign without a new boot; see stepServerHealth. */
  contradictable: boolean
}

export interface ServerHealth {
  name: string
  boot: string | undefined
  /** Boots that this server had before; late responses from them say nothing of the present one. */
  formerBoots: string[]
  leaving: Leaving | undefined
  listedAsLeaving: boolean
  /** A drain was seen that the host list has not shown yet, so its next `leaving` may be about a former boot. */
  listBehind: boolean
  consecutiveFailures: number
  /** Mean of the logarithm of latency, weighted to recent responses. */
  smoothedLogLatency: number
  latencySamples: number
  slowSince: number | undefined
  ejectedUntil: number
  /** Ejections in a row, which lengthen the next one. */
  ejections: number
  /** No ejection is tried before this time, since each try counts the ejected servers. */
  nextEjectionAt: number
  slowStartFrom: number
}

export interface ServerHealthState {
  servers: Map<string, ServerHealth>
  /** Running median of the logarithm of latency over all servers of the service. */
  medianLogLatency: number | undefined
}

const neverMilliseconds = Number.NEGATIVE_INFINITY

/** Creates the state of a service without servers. */
export function createServerHealthState (): ServerHealthState {
  return { servers: new Map(), medianLogLatency: undefined }
}

/** The record of a server that was not known before. */
export function createServerHealth (name: string, slowStartFrom: number = neverMilliseconds): ServerHealth {
  return {
    name,
    boot: undefined,
    formerBoots: [],
    leaving: undefined,
    listedAsLeaving: false,
    listBehind: false,
    consecutiveFailures: 0,
    smoothedLogLatency: 0,
    latencySamples: 0,
    slowSince: undefined,
    ejectedUntil: neverMilliseconds,
    ejections: 0,
    nextEjectionAt: neverMilliseconds,
    slowStartFrom
  }
}
