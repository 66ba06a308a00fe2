// Reads the view: which entry hosts are up, from the standpoint of this host. A suspected host counts as
// up until its time to object has passed.
import { pickIndex, sample, type Random } from '@siskinbeam/random/createRandom'
import type { MemberEntry } from './memberEntry.js'
import { objectionMilliseconds, type MemberRecord, type MembershipState } from './membershipState.js'

/** Lists the entry hosts that are up, this one first, leaving ones included. */
export function listLiveEntryHosts (state: MembershipState, now: number): MemberEntry[] {
  return [state.own, ...state.ring.map(({ entry }) => entry), ...listObjecting(state, now).map(({ entry }) => entry)]
}

/** Counts the entry hosts that are up, this one and leaving ones included; at least 1. */
export function countLiveEntryHosts (state: MembershipState, now: number): number {
  return 1 + state.ring.length + listObjecting(state, now).length
}

/** Lists the live peers in this host's data centre, with which load reports are shared. */
export function listDataCentrePeers (state: MembershipState): MemberEntry[] {
  return state.ring.map(({ entry }) => entry).filter(({ dataCentre, leaving }) => dataCentre === state.own.dataCentre && !leaving)
}

/** Picks distinct live peers at random, at most `count`. */
export function chooseRandomPeers (state: MembershipState, count: number, random: Random): MemberEntry[] {
  if (state.ring.length <= count) return sample(random, state.ring, count).map(({ entry }) => entry)
  const positions = new Set<number>()
  while (positions.size < count) positions.add(pickIndex(random, state.ring.length))
  return Array.from(positions).map(position => (state.ring[position] as MemberRecord).entry)
}

function listObjecting ({ suspected, records }: MembershipState, now: number): MemberRecord[] {
  return Array.from(suspected)
    .map(host => records.get(host) as MemberRecord)
    .filter(({ suspectedAt }) => now - suspectedAt < objectionMilliseconds)
}
