// Load reports of servers, and the source from which this host received them.

/** Load of a server at the time of the report. */
export interface LoadReport {
  /** Requests that are running or queued. */
  inFlight: number
  /** Requests, included in `inFlight`, that are queued for a slot. */
  queued: number
  slots?: number | undefined
  /** Recent latency as measured by the server. */
  latencyMilliseconds?: number | undefined
}

export enum ReportSource {
  Response = 'response',
  Probe = 'probe',
  Peer = 'peer'
}

/** A report with its server and its age, as sent to peers. Ages are relative, so hosts need no synchronized clocks. */
export interface AgedReport {
  server: string
  ageMilliseconds: number
  report: LoadReport
}
