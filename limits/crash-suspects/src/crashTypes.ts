// State, events and commands of crash detection. Times are milliseconds of the monotonic clock of this
// host; reports to peers contain ages instead, since the clocks of hosts differ.

/** The death of a server while a request was in flight on it. */
export interface SuspectDeath {
  server: string
  boot: string
  at: number
  /** How long the request had been in flight on the server when it died. */
  requestAgeMilliseconds: number
}

/** The death of a server, regardless of the requests in flight on it. */
export type ServerDeath = Omit<SuspectDeath, 'requestAgeMilliseconds'>

export enum SuspectStatus {
  Suspected = 'suspected',
  Blamed = 'blamed',
  Cleared = 'cleared'
}

/** What is known about one fingerprint. Reports are merged by set union, so their order does not matter. */
export interface Suspect {
  fingerprint: string
  status: SuspectStatus
  deaths: Map<string, SuspectDeath>
  /** Keys of the deaths that the request is known not to have caused. */
  clearedDeaths: Set<string>
  /** Whether a request with this fingerprint succeeded shortly before the first death. */
  succeededBefore: boolean
}

export interface CrashSuspectsState {
  suspects: Map<string, Suspect>
  serverDeaths: Map<string, ServerDeath>
  /** Fingerprints of the latest successful requests with their times, the oldest first. */
  successes: Map<string, number>
  /** Number of changes that may affect the status of a suspect. */
  changes: number
}

/** A suspect as it is reported to peers. */
export interface SuspectReport {
  fingerprint: string
  deaths: Array<{ server: string, boot: string, agoMilliseconds: number, requestAgeMilliseconds: number }>
  clearedDeaths: string[]
  succeededBefore: boolean
}

/** A report from one host to another. */
export interface CrashReport {
  suspects: SuspectReport[]
  serverDeaths: Array<{ server: string, boot: string, agoMilliseconds: number }>
}

export enum CrashEventKind {
  ServerDied = 'server-died',
  Finished = 'finished',
  PeerReported = 'peer-reported',
  Ticked = 'ticked'
}

export type CrashEvent =
  /**
   * A server died, or refuses connections although it did not announce a shutdown. `boot` is the last known
   * boot ID, and `inFlight` lists the requests of which at least one byte was written to the server.
   */
  | { kind: CrashEventKind.ServerDied, server: string, boot: string, inFlight: Array<{ fingerprint: string, ageMilliseconds: number }> }
  /** A server sent the complete response to a request. */
  | { kind: CrashEventKind.Finished, fingerprint: string }
  | { kind: CrashEventKind.PeerReported, report: CrashReport }
  /** Sent about every second. */
  | { kind: CrashEventKind.Ticked }

export enum CrashCommandKind {
  Announce = 'announce',
  Blamed = 'blamed',
  Cleared = 'cleared'
}

export type CrashCommand =
  /**
   * Send the report at once to `peers` random live peers. Error responses to requests that were in flight on the
   * server are delayed until these peers have received it, at most by `holdResponsesMilliseconds`: a guest that
   * receives the error earlier could repeat the request through hosts that do not know of the death.
   */
  | { kind: CrashCommandKind.Announce, report: CrashReport, peers: number, holdResponsesMilliseconds: number }
  /** To be logged. */
  | { kind: CrashCommandKind.Blamed, fingerprint: string, servers: string[] }
  | { kind: CrashCommandKind.Cleared, fingerprint: string }

/** Returns the key of a death: a server dies at most once per boot. */
export const createDeathKey = ({ server, boot }: { server: string, boot: string }): string => `${server}/${boot}`
