// Selects the member entries piggybacked on a heartbeat: first those that the receiver must know, then recent
// changes, then other members in round-robin order. Without changes a heartbeat has few entries, which keeps
// its size within the byte budget.
import { maximumEntriesPerHeartbeat, type Heartbeat, type MemberEntry } from './memberEntry.js'
import { findRingPosition, hashName, highestRingKey, lowestRingKey, MemberStatus, type MemberRecord, type MembershipState } from './membershipState.js'

const maximumOtherMembers = maximumEntriesPerHeartbeat - 1
/** Members sent in round-robin order in each heartbeat, even if nothing has changed. */
export const roundRobinMembers = 2
/** A change is sent in this many heartbeats more than the binary logarithm of the number of hosts. */
const extraTransmissions = 2
/** Number of intervals in which hosts that start at the same time repeat the synchronization with each other. */
const synchronizationTicks = 60

/** Queues the entry of a host to be piggybacked on the next heartbeats. */
export function queueChange (state: MembershipState, host: string): void {
  state.changes.delete(host)
  state.changes.set(host, Math.ceil(Math.log2(state.ring.length + 2)) + extraTransmissions)
}

/** Builds the heartbeat for one receiver. `first` names the hosts whose entries have priority. */
export function buildHeartbeat (state: MembershipState, receiver: string, now: number, first: readonly string[] = []): Heartbeat {
  const hosts = new Set<string>()
  // A suspected or dropped receiver is sent its own entry, because only it can refute the suspicion.
  if (isSuspectedOrDropped(state, receiver)) hosts.add(receiver)
  first.slice(0, maximumOtherMembers - hosts.size).forEach(host => hosts.add(host))
  dequeueChanges(state, maximumOtherMembers - hosts.size, receiver).forEach(host => hosts.add(host))
  selectRoundRobin(state, Math.min(roundRobinMembers, maximumOtherMembers - hosts.size), receiver).forEach(host => hosts.add(host))
  const members = Array.from(hosts)
    .slice(0, maximumOtherMembers)
    .map(host => state.records.get(host))
    .filter((record): record is MemberRecord => record !== undefined)
    .map(record => toReportedEntry(record, now))
  return { sender: { ...state.own }, members, membersFrom: state.synchronizeFrom }
}

export function isSuspectedOrDropped ({ suspected, dropped }: MembershipState, host: string): boolean {
  return suspected.has(host) || dropped.has(host)
}

/** Builds the answer to a host that is synchronizing its members: those from the ring key on, in ring order. */
export function buildMemberList (state: MembershipState, receiver: string, now: number, membersFrom: number): Heartbeat {
  const position = findRingPosition(state.ring, membersFrom, '')
  const members = state.ring.slice(position, position + maximumOtherMembers + 1)
    .filter(({ entry }) => entry.host !== receiver)
    .slice(0, maximumOtherMembers)
    .map(record => toReportedEntry(record, now))
  return { sender: { ...state.own }, members, membersFrom: state.synchronizeFrom }
}

/** Advances the synchronization of this host by an answer with members. An answer that is not full is the
 * last one, unless its sender is still synchronizing too; then this host starts over, but only within
 * `synchronizationTicks` after its start. */
export function advanceSynchronization (state: MembershipState, { members, membersFrom }: Heartbeat): void {
  // An answer with an entry of this host is not part of the list: it reports a suspicion to be refuted first.
  if (members.some(({ host }) => host === state.own.host)) return
  const startOver = membersFrom !== undefined && state.ticks < synchronizationTicks
  // Answers may arrive out of order, so the key never decreases.
  if (members.length === maximumOtherMembers) state.synchronizeFrom = Math.max(state.synchronizeFrom ?? lowestRingKey, ...members.map(({ host }) => Math.min(hashName(host) + 1, highestRingKey)))
  else state.synchronizeFrom = startOver ? lowestRingKey : undefined
}

function toReportedEntry ({ entry, status, suspectedAt }: MemberRecord, now: number): MemberEntry {
  if (status === MemberStatus.Live) return { ...entry }
  return { ...entry, suspected: true, suspectedMilliseconds: now - suspectedAt }
}

/** Takes the changes that were sent least often so far, which are the most recent ones. */
function dequeueChanges ({ changes }: MembershipState, count: number, receiver: string): string[] {
  const selected = Array.from(changes)
    .filter(([host]) => host !== receiver)
    .sort(([, first], [, second]) => second - first)
    .slice(0, count)
  selected.forEach(([host, remaining]) => {
    if (remaining > 1) changes.set(host, remaining - 1)
    else changes.delete(host)
  })
  return selected.map(([host]) => host)
}

/** Selects live members in round-robin order. If there are suspected members, the last place goes to one of them. */
function selectRoundRobin (state: MembershipState, count: number, receiver: string): string[] {
  const { ring, suspected } = state
  const suspectedHost = count > 0 && suspected.size > 0 ? Array.from(suspected)[state.ticks % suspected.size] : undefined
  const liveHosts = Array.from({ length: Math.min(suspectedHost === undefined ? count : count - 1, ring.length) }, () => {
    state.roundRobinPosition = (state.roundRobinPosition + 1) % ring.length
    return ring[state.roundRobinPosition]?.entry.host
  })
  return [...liveHosts, suspectedHost].filter((host): host is string => host !== undefined && host !== receiver)
}
