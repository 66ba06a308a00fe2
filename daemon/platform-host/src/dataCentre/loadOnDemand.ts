// Loads the first view of a host from the store if guests wait for it and no other host has sent it. Hosts that start
// after a loss of power serve nothing while the seeds are still down, and a call to the store is worth it only for guests.

export interface LoadOnDemandOptions {
  isLoaded: () => boolean
  /** Milliseconds since the host started. */
  readAge: () => number
  loadFromStore: () => void
}

/** Seeds that are up answer within this time after the start of a host. */
const seedReplyMilliseconds = 40

/** Returns a function to call for each guest that waits. It loads the view at most once. */
export function createLoadOnDemand ({ isLoaded, readAge, loadFromStore }: LoadOnDemandOptions): () => void {
  let requested = false
  return () => {
    if (requested) return
    requested = true
    setTimeout(() => { if (!isLoaded()) loadFromStore() }, Math.max(0, seedReplyMilliseconds - readAge()))
  }
}
