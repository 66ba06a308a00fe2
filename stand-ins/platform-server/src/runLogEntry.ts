// Entries of the run file, in which a server records the requests that it runs.

export enum RunEvent {
  /** A request or a health check arrived. */
  Contacted = 'contacted',
  Started = 'begins',
  Ended = 'ends',
  /** A request was turned away with the time for which its host is to send none. */
  TurnedAway = 'turned-away',
  /** The body of the response has no end. */
  SentWithoutEnd = 'sent-without-end'
}

/** One line of a run file, as JSON. */
export interface RunLogEntry {
  /** Epoch milliseconds. */
  at: number
  event: RunEvent
  server: string
  /** Empty for a health check. */
  request: string
  /** Whether the request may run at most once. */
  unsafe: boolean
  /** For requests that were turned away: how long their host is to send none. */
  pauseMilliseconds?: number
}
