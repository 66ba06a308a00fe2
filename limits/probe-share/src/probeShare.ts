// One host's share of the health checks that all hosts together may send: a token bucket, so that a burst of requests can use what
// quiet seconds have left. A request gets fewer probes before it gets none.

export interface ProbeShare {
  /** Time for which probes were not used, in milliseconds: tokens independent of a rate that changes with the numbers of hosts and servers. */
  savedMilliseconds: number
  /** Milliseconds of the monotonic clock. */
  updatedAt: number
}

export interface TakeProbesOptions {
  /** How many probes a request would use. */
  wanted: number
  /** Probes that this host may send per second in the long run. */
  perSecond: number
  now: number
}

const capacityMilliseconds = 10_000
/** With less than this saved, a request gets one probe only. */
const lowMilliseconds = capacityMilliseconds / 2
const probesWhenLow = 1

/** Creates a share that has been saved in full. */
export function createProbeShare (now: number): ProbeShare {
  return { savedMilliseconds: capacityMilliseconds, updatedAt: now }
}

/** Takes the probes of one request. Returns how many it may send, which can be none. */
export function takeProbes (share: ProbeShare, { wanted, perSecond, now }: TakeProbesOptions): number {
  share.savedMilliseconds = Math.min(capacityMilliseconds, share.savedMilliseconds + now - share.updatedAt)
  share.updatedAt = now
  const millisecondsPerProbe = 1_000 / perSecond
  const affordable = Math.floor(share.savedMilliseconds / millisecondsPerProbe)
  const taken = Math.min(affordable, share.savedMilliseconds < lowMilliseconds ? Math.min(wanted, probesWhenLow) : wanted)
  share.savedMilliseconds -= taken * millisecondsPerProbe
  return taken
}
