// What a server notes of the requests that it runs.

export enum RunEvent {
  Begins = 'begins',
  Ends = 'ends'
}

/** One line of a run file. */
export interface RunLine {
  /** Epoch milliseconds. */
  at: number
  event: RunEvent
  server: string
  request: string
  /** Whether the request may run once at most. */
  unsafe: boolean
}
