// What may be said about the guest's request when this attempt does not run it. The statement covers
// every copy of the request with the same or a lower `siskinbeam-attempt`, on any host: a copy that
// the guest sent earlier may still be waiting elsewhere.
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import type { ClaimState } from './claimState.js'

const firstAttempt = 1

/**
 * `not-run` in two cases, otherwise `unknown`:
 * - the guest declared that it sends the key for the first time, and no row of another attempt was seen;
 * - the claim was ours and the guest numbers its attempts: the row then becomes `Released` with this
 *   number, which bars earlier copies, or `Abandoned`, which bars all.
 */
export function decideOutcome ({ held, foreignRowSeen, options: { guestAttempt } }: ClaimState): Outcome {
  const barred = held && guestAttempt !== undefined
  if (barred) return Outcome.NotRun
  return foreignRowSeen ? Outcome.Unknown : decideOutcomeWithoutClaim(guestAttempt)
}

/** What may be said of a keyed request that is refused before its claim is started, for example by admission. */
export function decideOutcomeWithoutClaim (guestAttempt: number | undefined): Outcome {
  return guestAttempt === firstAttempt ? Outcome.NotRun : Outcome.Unknown
}

/** Whether the guest's request may claim a released row: copies sent before the released one are barred. */
export function mayClaimReleased ({ options: { guestAttempt } }: ClaimState, releasedAttempt: number): boolean {
  return guestAttempt === undefined || guestAttempt > releasedAttempt
}
