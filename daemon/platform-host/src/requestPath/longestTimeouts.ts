// Tracks the longest timeout that guests of each route have stated. A guest that retries after a refusal states only
// the time it has left, so a shorter timeout identifies a retry.

export interface LongestTimeouts {
  /** Records a timeout in milliseconds and returns the longest one of the route so far. */
  record: (route: string, milliseconds: number) => number
}

/** Creates an empty record. */
export function createLongestTimeouts (): LongestTimeouts {
  const longest = new Map<string, number>()
  return {
    record: (route, milliseconds) => {
      const updated = Math.max(milliseconds, longest.get(route) ?? 0)
      longest.set(route, updated)
      return updated
    }
  }
}
