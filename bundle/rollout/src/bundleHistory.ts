// Bounded history of the bundles that a host activated or refused, newest last. It is shown to operators.
import type { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { BundleHead } from './bundleStores.js'
import type { BodyOrigin } from './rolloutMessages.js'

/** A bundle that was activated, or refused with the code `refusal`. `at` is in monotonic milliseconds. */
export interface BundleHistoryEntry extends BundleHead {
  origin: BodyOrigin
  at: number
  refusal?: ResultCode
}

// An entry takes about 200 bytes. The bound keeps a day of refusals from filling the memory of a small host.
const maximumHistoryEntries = 32
// An invalid document in the store is fetched again every 2 s; repeats within this interval are not logged.
const duplicateRefusalIntervalMilliseconds = 60_000

/** Appends an entry and evicts the oldest ones. Returns false, without appending, if the same refusal was recorded within the last minute. */
export function recordInHistory (history: BundleHistoryEntry[], entry: BundleHistoryEntry): boolean {
  const isDuplicate = entry.refusal !== undefined && history.some(earlier =>
    earlier.refusal === entry.refusal && earlier.digest === entry.digest && earlier.version === entry.version &&
    formatOrigin(earlier.origin) === formatOrigin(entry.origin) && entry.at - earlier.at < duplicateRefusalIntervalMilliseconds)
  if (isDuplicate) return false
  history.push(entry)
  history.splice(0, history.length - maximumHistoryEntries)
  return true
}

/** Formats an origin as a map key and for logs: `store`, or `peer:` followed by the name of the peer. */
export function formatOrigin (origin: BodyOrigin): string {
  return 'peer' in origin ? `peer:${origin.peer}` : origin.source
}
