// Injected faults of the server stand-in, configured over its control address.

/** The current faults of the server. */
export interface ServerFaults {
  /** Factor by which service times are multiplied. */
  slowFactor: number
  /** New requests are shed, and the state header announces that the server is draining. */
  drain: boolean
  /** Every request is shed before it starts. */
  shed: boolean
  /** Requests on all connections are accepted and get no response. */
  freeze: boolean
  /** Number of requests in flight to report instead of the actual one, with an empty queue; null for the actual load. */
  reportedInFlight: number | null
  /** Probability that a response is truncated in the middle of its body. */
  truncateShare: number
  /** Probability that a response is followed by a second, unsolicited response on the same connection. */
  garbageShare: number
}

export const noFaults: ServerFaults = {
  slowFactor: 1,
  drain: false,
  shed: false,
  freeze: false,
  reportedInFlight: null,
  truncateShare: 0,
  garbageShare: 0
}

const validators: Record<keyof ServerFaults, (value: unknown) => boolean> = {
  slowFactor: value => typeof value === 'number' && value > 0,
  drain: value => typeof value === 'boolean',
  shed: value => typeof value === 'boolean',
  freeze: value => typeof value === 'boolean',
  reportedInFlight: value => value === null || typeof value === 'number',
  truncateShare: isProbability,
  garbageShare: isProbability
}

function isProbability (value: unknown): boolean {
  return typeof value === 'number' && value >= 0 && value <= 1
}

/** Applies a change, or returns the faults unchanged and the first invalid key if there is one. */
export function changeFaults (faults: ServerFaults, change: Record<string, unknown>): { faults: ServerFaults, wrongKey?: string } {
  const wrongKey = Object.entries(change).find(([key, value]) => !(key in validators) || !validators[key as keyof ServerFaults](value))?.[0]
  return wrongKey === undefined ? { faults: { ...faults, ...change } } : { faults, wrongKey }
}
