// Decides which outcome is reported to the guest when this attempt does not run its request. The outcome
// covers every duplicate of the request with the same or a lower `siskinbeam-attempt`, on any host,
// because a duplicate that the guest sent earlier may still be queued on another host.
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import type { ClaimState } from './claimState.js'

const firstAttempt = 1

/**
 * Returns `not-run` in two cases, otherwise `unknown`:
 * - the guest declared its first attempt with this key, and no row of another attempt was found;
 * - this attempt held the claim and the guest numbers its attempts: the row then becomes `Released` with
 *   this number, which rejects earlier duplicates, or `Abandoned`, which rejects all duplicates.
 */
export function decideOutcome ({ held, otherAttemptSeen, options: { guestAttempt } }: ClaimState): Outcome {
  const duplicatesRejected = held && guestAttempt !== undefined
  if (duplicatesRejected) return Outcome.NotRun
  return otherAttemptSeen ? Outcome.Unknown : decideOutcomeWithoutClaim(guestAttempt)
}

/** Returns the outcome of a request with an idempotency key that is refused before its claim starts, for example by admission control. */
export function decideOutcomeWithoutClaim (guestAttempt: number | undefined): Outcome {
  return guestAttempt === firstAttempt ? Outcome.NotRun : Outcome.Unknown
}

/** Whether the request may claim a released row. Duplicates that the guest sent before the released attempt may not. */
export function mayClaimReleased ({ options: { guestAttempt } }: ClaimState, releasedAttempt: number): boolean {
  return guestAttempt === undefined || guestAttempt > releasedAttempt
}
