// State, events and commands for the health of one service's servers, as observed by one entry host.

/** The signal by which a server was recognized as leaving. */
export enum DrainSignal {
  /** The `server-state: draining` header of a response. */
  Header = 'header',
  /** The server refused a connection. */
  RefusedConnection = 'refused-connection',
  /** The host list has the server as `leaving`. */
  HostList = 'host-list'
}

/** The reason for ejecting a server. */
export enum EjectionReason {
  ConsecutiveFailures = 'consecutive-failures',
  SustainedStraggling = 'sustained-straggling'
}

export enum HealthEventKind {
  /** The set of servers changed because of a new bundle or subset. */
  ServersChanged = 'servers-changed',
  /** A request is about to be written to a server. */
  Sent = 'sent',
  /** A complete response to a request was received. */
  Responded = 'responded',
  /** A request failed at the server: lost connection, timeout, malformed response, or a 5xx status other than load shedding. */
  Failed = 'failed',
  ConnectionRefused = 'connection-refused',
  /** A probe received a response. */
  ProbeResponded = 'probe-answered',
  HostListRead = 'host-list-read'
}

/** Server state from the headers of a response; fields are undefined if the header is missing. */
export interface ServerStateHeaders {
  boot?: string | undefined
  draining: boolean
}

export type HealthEvent =
  | { kind: HealthEventKind.ServersChanged, servers: readonly string[] }
  | { kind: HealthEventKind.Sent, server: string }
  /**
   * `latencyMilliseconds` excludes the round trip to the server's data centre; otherwise a remote server would be
   * classified as a straggler. It is omitted for responses unrelated to the server's speed, such as shed requests.
   */
  | { kind: HealthEventKind.Responded, server: string, signs: ServerStateHeaders, latencyMilliseconds?: number }
  /** `signs` is set if the failure was a response, for example with status 500. */
  | { kind: HealthEventKind.Failed, server: string, signs?: ServerStateHeaders }
  | { kind: HealthEventKind.ConnectionRefused, server: string }
  /** `newConnection` is true if the probe opened its own connection, after `sentAt`. */
  | { kind: HealthEventKind.ProbeResponded, server: string, signs: ServerStateHeaders, newConnection: boolean, sentAt: number }
  /** `leaving` holds the servers that the host list has as leaving; the others are live. */
  | { kind: HealthEventKind.HostListRead, leaving: ReadonlySet<string> }

export enum HealthCommandKind {
  /** The server is leaving: close its idle connections and complete its in-flight requests. */
  StopSending = 'stop-sending',
  Eject = 'eject',
  /** The server gets requests again, with slow start. */
  Reinstate = 'reinstate'
}

export type HealthCommand =
  | { kind: HealthCommandKind.StopSending, server: string, sign: DrainSignal }
  | { kind: HealthCommandKind.Eject, server: string, reason: EjectionReason, untilMilliseconds: number }
  | { kind: HealthCommandKind.Reinstate, server: string }

/** The signal by which a server was recognized as leaving, and its state at that time. */
export interface LeavingState {
  sign: DrainSignal
  since: number
  /** The boot ID known when the signal was received. */
  boot: string | undefined
  /** Whether the response to a probe can revoke the signal without a new boot ID; see stepServerHealth. */
  revocable: boolean
}

export interface ServerHealth {
  name: string
  boot: string | undefined
  /** Earlier boot IDs of this server. Late responses that carry one of them are ignored. */
  previousBoots: string[]
  leaving: LeavingState | undefined
  listedAsLeaving: boolean
  /** A drain was detected that the host list does not show yet, so its next `leaving` may concern a previous boot. */
  hostListStale: boolean
  consecutiveFailures: number
  /** Exponential moving average of the logarithm of the latency. */
  smoothedLogLatency: number
  latencySamples: number
  stragglingSince: number | undefined
  ejectedUntil: number
  /** Number of consecutive ejections; each doubles the duration of the next. */
  ejections: number
  /** No ejection is attempted before this time, because each attempt counts the ejected servers. */
  nextEjectionAttemptAt: number
  slowStartFrom: number
}

export interface ServerHealthState {
  servers: Map<string, ServerHealth>
  /** Running median of the logarithm of the latency over all servers of the service. */
  medianLogLatency: number | undefined
}

const neverAt = Number.NEGATIVE_INFINITY

/** Creates the state of a service without servers. */
export function createServerHealthState (): ServerHealthState {
  return { servers: new Map(), medianLogLatency: undefined }
}

/** Creates the record of a server that was not known before. */
export function createServerHealth (name: string, slowStartFrom: number = neverAt): ServerHealth {
  return {
    name,
    boot: undefined,
    previousBoots: [],
    leaving: undefined,
    listedAsLeaving: false,
    hostListStale: false,
    consecutiveFailures: 0,
    smoothedLogLatency: 0,
    latencySamples: 0,
    stragglingSince: undefined,
    ejectedUntil: neverAt,
    ejections: 0,
    nextEjectionAttemptAt: neverAt,
    slowStartFrom
  }
}
