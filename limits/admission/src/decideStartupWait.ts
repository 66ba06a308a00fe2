// Computes how long a request may wait for the first configuration of a host that has just started. After a
// power failure all hosts start at the same time, and a guest that is refused would spend its only retry on
// another host without a configuration. A host that still has none after this time cannot reach the store,
// and refuses requests at once.

export interface DecideStartupWaitOptions {
  /** Time since the listeners of the host were bound. */
  hostAgeMilliseconds: number
  /** How long the guest waits for its response. */
  guestWaitMilliseconds: number
}

/** Hosts that start at the same time receive the configuration from their peers within this time. */
const configurationExchangeMilliseconds = 1_200
const maximumWaitMilliseconds = 500
/** Guests abort a request that is not read within a third of their waiting time. */
const guestWaitRatio = 0.25

/** Returns the milliseconds that the request may wait; 0 if it must be refused at once. */
export function decideStartupWait ({ hostAgeMilliseconds, guestWaitMilliseconds }: DecideStartupWaitOptions): number {
  return Math.max(0, Math.min(maximumWaitMilliseconds, configurationExchangeMilliseconds - hostAgeMilliseconds, guestWaitRatio * guestWaitMilliseconds))
}
