// Chooses what a heartbeat carries: first what the receiver must know, then recent changes, then other
// members in turn. Without changes a heartbeat has few members, which keeps the bytes within budget.
import { maximumEntriesPerHeartbeat, type Heartbeat, type MemberEntry } from './memberEntry.js'
import { findRingPosition, hashName, highestRingKey, lowestRingKey, MemberStatus, type MemberRecord, type MembershipState } from './membershipState.js'

const maximumMembersCarried = maximumEntriesPerHeartbeat - 1
/** Members sent in turn in each heartbeat even if nothing has changed. */
export const regularMembers = 2
/** A change is carried by this many heartbeats more than the logarithm of the number of hosts. */
const furtherCarries = 2
/** When all hosts start at once they learn from each other for so many intervals. */
const learningTicks = 60

/** Has an entry carried by the next heartbeats. */
export function carryChange (state: MembershipState, host: string): void {
  state.changes.delete(host)
  state.changes.set(host, Math.ceil(Math.log2(state.ring.length + 2)) + furtherCarries)
}

/** Builds the heartbeat for one host. `first` names hosts whose entries come first. */
export function buildHeartbeat (state: MembershipState, receiver: string, now: number, first: readonly string[] = []): Heartbeat {
  const hosts = new Set<string>()
  // The receiver must learn that it is suspected, since only it can object.
  if (isDoubted(state, receiver)) hosts.add(receiver)
  first.slice(0, maximumMembersCarried - hosts.size).forEach(host => hosts.add(host))
  takeChanges(state, maximumMembersCarried - hosts.size, receiver).forEach(host => hosts.add(host))
  takeInTurn(state, Math.min(regularMembers, maximumMembersCarried - hosts.size), receiver).forEach(host => hosts.add(host))
  const members = Array.from(hosts)
    .slice(0, maximumMembersCarried)
    .map(host => state.records.get(host))
    .filter((record): record is MemberRecord => record !== undefined)
    .map(record => reportRecord(record, now))
  return { sender: { ...state.own }, members, membersFrom: state.learnFrom }
}

/** Whether the host is suspected or dropped. */
export function isDoubted ({ suspected, dropped }: MembershipState, host: string): boolean {
  return suspected.has(host) || dropped.has(host)
}

/** Builds the answer to a host that is learning the members: those from the key on, in ring order. */
export function buildMemberList (state: MembershipState, receiver: string, now: number, membersFrom: number): Heartbeat {
  const position = findRingPosition(state.ring, membersFrom, '')
  const members = state.ring.slice(position, position + maximumMembersCarried + 1)
    .filter(({ entry }) => entry.host !== receiver)
    .slice(0, maximumMembersCarried)
    .map(record => reportRecord(record, now))
  return { sender: { ...state.own }, members, membersFrom: state.learnFrom }
}

/** Notes how far the answer to a learning host went. A short answer was the last one, unless its sender
 * is still learning itself; then this host begins again, as long as it is young. */
export function noteMemberList (state: MembershipState, { members, membersFrom }: Heartbeat): void {
  // An answer about this host itself is not a list: it asks for an objection first.
  if (members.some(({ host }) => host === state.own.host)) return
  const senderIsLearning = membersFrom !== undefined && state.ticks < learningTicks
  // Answers may overtake each other, so the key never goes back.
  if (members.length === maximumMembersCarried) state.learnFrom = Math.max(state.learnFrom ?? lowestRingKey, ...members.map(({ host }) => Math.min(hashName(host) + 1, highestRingKey)))
  else state.learnFrom = senderIsLearning ? lowestRingKey : undefined
}

function reportRecord ({ entry, status, suspectedAt }: MemberRecord, now: number): MemberEntry {
  if (status === MemberStatus.Live) return { ...entry }
  return { ...entry, suspected: true, suspectedMilliseconds: now - suspectedAt }
}

/** Takes the changes that were carried least often so far, which are the most recent ones. */
function takeChanges ({ changes }: MembershipState, count: number, receiver: string): string[] {
  const taken = Array.from(changes)
    .filter(([host]) => host !== receiver)
    .sort(([, first], [, second]) => second - first)
    .slice(0, count)
  taken.forEach(([host, remaining]) => {
    if (remaining > 1) changes.set(host, remaining - 1)
    else changes.delete(host)
  })
  return taken.map(([host]) => host)
}

/** Takes members in turn, the last of them among the suspected ones if there are any. */
function takeInTurn (state: MembershipState, count: number, receiver: string): string[] {
  const { ring, suspected } = state
  const doubted = count > 0 && suspected.size > 0 ? Array.from(suspected)[state.ticks % suspected.size] : undefined
  const inTurn = Array.from({ length: Math.min(doubted === undefined ? count : count - 1, ring.length) }, () => {
    state.roundRobin = (state.roundRobin + 1) % ring.length
    return ring[state.roundRobin]?.entry.host
  })
  return [...inTurn, doubted].filter((host): host is string => host !== undefined && host !== receiver)
}
