// What a host remembers of the bundles it was offered: a bounded list for operators, newest last.
import type { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { BundleHead } from './bundleStores.js'
import type { BodyOrigin } from './rolloutMessages.js'

/** A bundle that was put in force, or refused with `refusal`. `at` is monotonic milliseconds. */
export interface SeenBundle extends BundleHead {
  origin: BodyOrigin
  at: number
  refusal?: ResultCode
}

// 32 entries of about 200 bytes; a day of refusals must not fill a small host's memory.
const maximumSeen = 32
// A wrong document in the store is fetched again every 2 s, and need not be logged each time.
const repeatAfterMilliseconds = 60_000

/** Adds an entry and drops the oldest. Returns false if the same refusal was added within the last minute. */
export function rememberSeen (seen: SeenBundle[], entry: SeenBundle): boolean {
  const repeated = entry.refusal !== undefined && seen.some(earlier =>
    earlier.refusal === entry.refusal && earlier.digest === entry.digest && earlier.version === entry.version &&
    describeOrigin(earlier.origin) === describeOrigin(entry.origin) && entry.at - earlier.at < repeatAfterMilliseconds)
  if (repeated) return false
  seen.push(entry)
  seen.splice(0, seen.length - maximumSeen)
  return true
}

/** Names an origin, for maps and for logs: `store`, or `peer:` and the name of the peer. */
export function describeOrigin (origin: BodyOrigin): string {
  return 'peer' in origin ? `peer:${origin.peer}` : origin.source
}
