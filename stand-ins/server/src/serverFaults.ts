// Faults of the stand-in of a server, switched over its control address.

/** What is wrong with the server at the moment. */
export interface ServerFaults {
  /** Service times are multiplied by this. */
  slowFactor: number
  /** New requests are shed and the state header says that the server drains. */
  drain: boolean
  /** Each request is shed before its start. */
  shed: boolean
  /** Requests are accepted and never answered, on any connection. */
  freeze: boolean
  /** A load report with this many requests in flight is sent in place of the true one. */
  reportedInFlight: number | null
  /** Share of answers that are cut off in the middle. */
  truncateShare: number
  /** Share of answers that are followed by a second, unasked answer on the same connection. */
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

const kinds: Record<keyof ServerFaults, (value: unknown) => boolean> = {
  slowFactor: value => typeof value === 'number' && value > 0,
  drain: value => typeof value === 'boolean',
  shed: value => typeof value === 'boolean',
  freeze: value => typeof value === 'boolean',
  reportedInFlight: value => value === null || typeof value === 'number',
  truncateShare: isShare,
  garbageShare: isShare
}

function isShare (value: unknown): boolean {
  return typeof value === 'number' && value >= 0 && value <= 1
}

/** Applies a change; gives the first wrong key instead when there is one. */
export function changeFaults (faults: ServerFaults, change: Record<string, unknown>): { faults: ServerFaults, wrongKey?: string } {
  const wrongKey = Object.entries(change).find(([key, value]) => !(key in kinds) || !kinds[key as keyof ServerFaults](value))?.[0]
  return wrongKey === undefined ? { faults: { ...faults, ...change } } : { faults, wrongKey }
}
