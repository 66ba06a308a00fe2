// How long the guests of a route wait at the most. A guest that comes back after a refusal says that it
// waits for the rest of that time only.

export interface LongestTimeouts {
  /** Takes note of a wait, and gives the longest one so far. */
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
