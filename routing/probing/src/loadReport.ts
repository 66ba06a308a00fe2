// What a server says of its load, and who passed it on.

/** Load at the time of the report. */
export interface LoadReport {
  /** Requests that run or wait. */
  inFlight: number
  /** Requests among them that wait for a slot. */
  queued: number
  slots?: number | undefined
  /** The server's own measure of its recent latency. */
  latencyMilliseconds?: number | undefined
}

export enum ReportSource {
  Response = 'response',
  Probe = 'probe',
  Peer = 'peer'
}

/** A report with its server and its age, as sent to peers. Ages need no common clock. */
export interface AgedReport {
  server: string
  ageMilliseconds: number
  report: LoadReport
}
