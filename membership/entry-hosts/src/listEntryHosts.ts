// Lists the entry hosts that are up in the view of this host. A suspected host counts as up until the
// suspicion timeout has passed.
import { pickIndex, sample, type Random } from '@siskinbeam/random/createRandom'
import type { MemberEntry } from './memberEntry.js'
import { suspicionTimeoutMilliseconds, type MemberRecord, type MembershipState } from './membershipState.js'

/** Lists the entry hosts that are up, including leaving ones. This host comes first. */
export function listLiveEntryHosts (state: MembershipState, now: number): MemberEntry[] {
  return [state.own, ...state.ring.map(({ entry }) => entry), ...listWithinSuspicionTimeout(state, now).map(({ entry }) => entry)]
}

/** Counts the entry hosts that are up, including this host and leaving ones; at least 1. */
export function countLiveEntryHosts (state: MembershipState, now: number): number {
  return 1 + state.ring.length + listWithinSuspicionTimeout(state, now).length
}

/** Lists the live peers in this host's data centre that are not leaving; load reports are shared with them. */
export function listDataCentrePeers (state: MembershipState): MemberEntry[] {
  return state.ring.map(({ entry }) => entry).filter(({ dataCentre, leaving }) => dataCentre === state.own.dataCentre && !leaving)
}

/** Chooses at most `count` distinct live peers at random. */
export function chooseRandomPeers (state: MembershipState, count: number, random: Random): MemberEntry[] {
  if (state.ring.length <= count) return sample(random, state.ring, count).map(({ entry }) => entry)
  const positions = new Set<number>()
  while (positions.size < count) positions.add(pickIndex(random, state.ring.length))
  return Array.from(positions).map(position => (state.ring[position] as MemberRecord).entry)
}

function listWithinSuspicionTimeout ({ suspected, records }: MembershipState, now: number): MemberRecord[] {
  return Array.from(suspected)
    .map(host => records.get(host) as MemberRecord)
    .filter(({ suspectedAt }) => now - suspectedAt < suspicionTimeoutMilliseconds)
}
