// State, events and commands of the crash suspects. Times are milliseconds of the monotonic clock of
// this host; peers exchange ages instead, since their clocks differ.

/** One death of a server while a request was in flight on it. */
export interface Death {
  server: string
  boot: string
  at: number
  /** How long the request had been in flight on the server when it died. */
  requestAgeMilliseconds: number
}

/** A death of a server, whatever was in flight on it. */
export type ServerDeath = Omit<Death, 'requestAgeMilliseconds'>

export enum SuspectStatus {
  Suspected = 'suspected',
  Blamed = 'blamed',
  Cleared = 'cleared'
}

/** What is known about one fingerprint. Merging takes unions only, so the order of reports does not matter. */
export interface Suspect {
  fingerprint: string
  status: SuspectStatus
  deaths: Map<string, Death>
  /** Keys of deaths that the request is known not to have caused. */
  clearedDeaths: Set<string>
  /** Whether the same request succeeded shortly before the first death. */
  succeededBefore: boolean
}

export interface CrashSuspectsState {
  suspects: Map<string, Suspect>
  serverDeaths: Map<string, ServerDeath>
  /** Fingerprints of the latest successes with their times, the oldest first. */
  successes: Map<string, number>
  /** Counts the changes that may alter the status of a suspect. */
  changes: number
}

/** A suspect as peers exchange it. */
export interface SuspectReport {
  fingerprint: string
  deaths: Array<{ server: string, boot: string, agoMilliseconds: number, requestAgeMilliseconds: number }>
  clearedDeaths: string[]
  succeededBefore: boolean
}

/** What one host tells another. */
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
   * A server died, or refuses connections without having said that it leaves. `boot` is the last one
   * seen, `inFlight` lists the requests of which a byte was written to the server.
   */
  | { kind: CrashEventKind.ServerDied, server: string, boot: string, inFlight: Array<{ fingerprint: string, ageMilliseconds: number }> }
  /** A server gave the whole answer to a request. */
  | { kind: CrashEventKind.Finished, fingerprint: string }
  | { kind: CrashEventKind.PeerReported, report: CrashReport }
  /** Comes every second or so. */
  | { kind: CrashEventKind.Ticked }

export enum CrashCommandKind {
  Announce = 'announce',
  Blamed = 'blamed',
  Cleared = 'cleared'
}

export type CrashCommand =
  /**
   * Send the report at once to `peers` random live peers. Failure answers to requests that were in
   * flight on the server wait until those peers have it, at most `holdAnswersMilliseconds`: a caller that
   * hears of the failure sooner resends through hosts that know nothing of it.
   */
  | { kind: CrashCommandKind.Announce, report: CrashReport, peers: number, holdAnswersMilliseconds: number }
  /** For the log. */
  | { kind: CrashCommandKind.Blamed, fingerprint: string, servers: string[] }
  | { kind: CrashCommandKind.Cleared, fingerprint: string }

/** Identifies one death of one boot of a server. */
export const keyDeath = ({ server, boot }: { server: string, boot: string }): string => `${server}/${boot}`
