// Merges what another host reports about one host into the view. An entry of a later boot replaces all
// of an earlier one; within a boot the greater counter wins, and at equal counters a suspicion wins,
// since only the host itself can lift it, by raising its counter.
import { compareEntries, type MemberEntry } from './memberEntry.js'
import { addMember, dropMilliseconds, MemberStatus, setMemberStatus, type MemberRecord, type MembershipState } from './membershipState.js'

/** What a merged entry calls for. */
export enum MergeEffect {
  None = 'none',
  /** The reporting host knows less than this one and is to be told. */
  Correct = 'correct',
  /** To be carried by the next heartbeats. */
  Carry = 'carry',
  /** To be passed on at once. */
  Spread = 'spread'
}

/** Merges an entry about another host. */
export function mergeEntry (state: MembershipState, entry: MemberEntry, now: number): MergeEffect {
  const record = state.records.get(entry.host)
  if (record === undefined) return mergeUnknown(state, entry, now)
  const order = compareEntries(entry, record.entry)
  if (order > 0) return replaceEntry(state, record, entry, now)
  const firstSuspicion = order === 0 && entry.suspected && record.status === MemberStatus.Live
  if (firstSuspicion) return suspectMember(state, record, now, entry.suspectedMilliseconds)
  const outdated = order < 0 || (!entry.suspected && record.status !== MemberStatus.Live)
  return outdated ? MergeEffect.Correct : MergeEffect.None
}

/** Suspects a live member, which another host has suspected for the time given. */
export function suspectMember (state: MembershipState, record: MemberRecord, now: number, suspectedMilliseconds = 0): MergeEffect {
  record.suspectedAt = now - Math.min(Math.max(suspectedMilliseconds, 0), dropMilliseconds)
  setMemberStatus(state, record, MemberStatus.Suspected, now)
  return MergeEffect.Spread
}

function mergeUnknown (state: MembershipState, entry: MemberEntry, now: number): MergeEffect {
  // A host known only as suspected has most likely failed before this host started.
  if (entry.suspected) return MergeEffect.None
  return addMember(state, { ...entry }, now) === undefined ? MergeEffect.None : MergeEffect.Carry
}

function replaceEntry (state: MembershipState, record: MemberRecord, entry: MemberEntry, now: number): MergeEffect {
  const { entry: before, status } = record
  const newBoot = before.bootId !== entry.bootId
  record.entry = { ...entry, suspected: false, suspectedMilliseconds: 0 }
  if (newBoot) record.ignoreFailuresUntil = now
  if (entry.suspected) {
    if (status !== MemberStatus.Live) return MergeEffect.None
    return suspectMember(state, record, now, entry.suspectedMilliseconds)
  }
  if (status !== MemberStatus.Live) {
    setMemberStatus(state, record, MemberStatus.Live, now)
    return MergeEffect.Spread
  }
  if (entry.leaving && !before.leaving) return MergeEffect.Spread
  // A change of the bundle version alone is left to the regular rounds: every host has it at each rollout.
  return newBoot ? MergeEffect.Carry : MergeEffect.None
}
