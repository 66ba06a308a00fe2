// How long a request waits for the first configuration of a host that has just started. After a loss of
// power all hosts start at once, and a guest that is refused then spends its only retry on the next host
// that knows nothing either. A host that has been up for longer has lost the store, and refuses at once.

export interface StartupWaitQuestion {
  /** Time since the host's listeners were bound. */
  hostAgeMilliseconds: number
  /** How long the guest waits for its answer. */
  guestWaitMilliseconds: number
}

/** Hosts that start together are told the configuration by each other within this time. */
const learningMilliseconds = 1_200
const longestWaitMilliseconds = 500
/** Guests give up a request that is not read within a third of their time. */
const guestWaitShare = 0.25

/** Milliseconds that the request may wait; 0 to refuse it at once. */
export function decideStartupWait ({ hostAgeMilliseconds, guestWaitMilliseconds }: StartupWaitQuestion): number {
  return Math.max(0, Math.min(longestWaitMilliseconds, learningMilliseconds - hostAgeMilliseconds, guestWaitShare * guestWaitMilliseconds))
}
