// How long the guests of a route wait at the most. A guest that comes back after a refusal says that it
// waits for the rest of that time only.

export interface LongestWaits {
  /** Takes note of a wait, and gives the longest one so far. */
  note: (route: string, milliseconds: number) => number
}

/** Creates an empty record. */
export function createLongestWaits (): LongestWaits {
  const longest = new Map<string, number>()
  return {
    note: (route, milliseconds) => {
      const present = Math.max(milliseconds, longest.get(route) ?? 0)
      longest.set(route, present)
      return present
    }
  }
}
