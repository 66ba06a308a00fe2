// How a host finds out the present version before it serves: when it starts, and when it was paused.
import type { BundleHead } from './bundleStores.js'
import { noteCandidate } from './candidates.js'
import { readHeadInForce, type Inquiry, type RolloutState } from './rolloutState.js'

const answersNeeded = 2
// A host that has a bundle and can reach nobody serves after this time; refusing would turn every guest
// away for a change that it cannot know of.
const longestInquiryMilliseconds = 1_000

/** Ends the inquiry if enough was answered, or turns its answers into candidates. Returns the inquiry if it goes on. */
export function advanceInquiry (state: RolloutState, now: number): Inquiry | undefined {
  const { inquiry } = state
  if (inquiry === undefined) return undefined
  if (isFinished(state, inquiry, now)) return endInquiry(state)
  const named = inquiry.headAnswered ? state.head : undefined
  const newest = mayTakeFromPeers(state, inquiry) ? findNewest(inquiry) : undefined
  const wanted = [named, newest].filter(head => head !== undefined)
  wanted.forEach(head => listHolders(inquiry, head).forEach(peer => noteCandidate(state, head, peer)))
  return inquiry
}

function isFinished (state: RolloutState, inquiry: Inquiry, now: number): boolean {
  const inForce = readHeadInForce(state)
  if (inForce === undefined) return false
  const heard = Math.max(findNewest(inquiry)?.version ?? 0, inquiry.headAnswered ? state.head?.version ?? 0 : 0)
  const answered = inquiry.headAnswered || haveEnoughAnswered(state, inquiry)
  return (answered && inForce.version >= heard) || now - inquiry.since > longestInquiryMilliseconds
}

// A host that starts takes the store's word first. The versions of peers count in an outage, if the
// table names no bundle, and if the body that it names cannot be had: without the last, a host that
// starts after a rollout and during an outage of the object store would have no bundle at all.
function mayTakeFromPeers (state: RolloutState, inquiry: Inquiry): boolean {
  const storeNamesBundle = inquiry.headAnswered && state.head !== undefined && !inquiry.bodyFailed
  const storeGivesNothing = (inquiry.headFailed || inquiry.headAnswered) && !storeNamesBundle
  return state.inForce !== undefined || (storeGivesNothing && haveEnoughAnswered(state, inquiry))
}

function endInquiry (state: RolloutState): undefined {
  state.inquiry = undefined
}

// A peer without a bundle tells nothing about the present version, so it does not count towards the
// two. All known peers means those on the host list too, suspected or not: otherwise a host cut off
// from all peers but one would take the word of that one.
function haveEnoughAnswered ({ peers, listedHosts }: RolloutState, { answers }: Inquiry): boolean {
  const withBundle = [...answers.values()].filter(head => head !== null).length
  const allKnown = peers.length > 0 && peers.every(peer => answers.has(peer)) && answers.size >= listedHosts - 1
  return withBundle >= answersNeeded || allKnown
}

function findNewest ({ answers }: Inquiry): BundleHead | undefined {
  return [...answers.values()].reduce<BundleHead | undefined>((newest, head) =>
    head !== null && head.version > (newest?.version ?? 0) ? head : newest, undefined)
}

function listHolders ({ answers }: Inquiry, { version, digest }: BundleHead): string[] {
  return [...answers].filter(([, head]) => head?.version === version && head.digest === digest).map(([peer]) => peer)
}
