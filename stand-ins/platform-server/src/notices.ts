// How a server responds, and what it says of itself in its responses, as the soak sets it in a file.

/** Content of the file, as JSON. A field that is absent says nothing. */
export interface Notices {
  /** Limit of the requests of all hosts together, per second. */
  limit?: number
  isLeaving?: boolean
  /** Until when requests are turned away with the time that is left; epoch milliseconds. */
  pausedUntil?: number
  /** What is responded to with a body without end. */
  endless?: EndlessResponses
}

export enum EndlessResponses {
  HealthChecks = 'health-checks',
  Requests = 'requests'
}
