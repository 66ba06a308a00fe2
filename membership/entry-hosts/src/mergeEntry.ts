// Merges an entry reported by another host into the view. An entry of a later boot replaces any entry of an
// earlier boot. Within a boot the greater counter wins, and at equal counters a suspicion wins, because only
// the suspected host itself can refute it, by incrementing its counter.
import { compareEntries, type MemberEntry } from './memberEntry.js'
import { addMember, dropAfterMilliseconds, MemberStatus, setMemberStatus, type MemberRecord, type MembershipState } from './membershipState.js'

/** Action that follows from a merged entry. */
export enum MergeEffect {
  None = 'none',
  /** The reporting host has outdated information; the answer must contain the entry of this host's view. */
  Correct = 'correct',
  /** The entry is piggybacked on the next heartbeats. */
  Piggyback = 'carry',
  /** The entry is disseminated immediately. */
  Disseminate = 'spread'
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

/** Marks a live member as suspected. `suspectedMilliseconds` is the age of the suspicion if another host reported it. */
export function suspectMember (state: MembershipState, record: MemberRecord, now: number, suspectedMilliseconds = 0): MergeEffect {
  record.suspectedAt = now - Math.min(Math.max(suspectedMilliseconds, 0), dropAfterMilliseconds)
  setMemberStatus(state, record, MemberStatus.Suspected, now)
  return MergeEffect.Disseminate
}

function mergeUnknown (state: MembershipState, entry: MemberEntry, now: number): MergeEffect {
  // A host that is first reported as suspected has most likely failed before this host started.
  if (entry.suspected) return MergeEffect.None
  return addMember(state, { ...entry }, now) === undefined ? MergeEffect.None : MergeEffect.Piggyback
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
    return MergeEffect.Disseminate
  }
  if (entry.leaving && !before.leaving) return MergeEffect.Disseminate
  // A change of the bundle version alone is not queued, because it occurs on every host at each rollout; the
  // round-robin entries of regular heartbeats report it.
  return newBoot ? MergeEffect.Piggyback : MergeEffect.None
}
