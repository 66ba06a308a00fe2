// Chooses what a heartbeat carries: first what the receiver must know, then recent changes, then other
// members in turn. Without changes a heartbeat has few members, which keeps the bytes within budget.
import { maximumEntriesPerHeartbeat, type Heartbeat, type MemberEntry } from './memberEntry.js'
import { MemberStatus, type MemberRecord, type MembershipState } from './membershipState.js'

const maximumMembersCarried = maximumEntriesPerHeartbeat - 1
/** Members sent in turn in each heartbeat even if nothing has changed. */
export const regularMembers = 2
/** A change is carried this many times the logarithm of the number of hosts, so that it reaches all. */
const carryFactor = 2

/** Has an entry carried by the next heartbeats. */
export function carryChange (state: MembershipState, host: string): void {
  state.changes.delete(host)
  state.changes.set(host, Math.ceil(carryFactor * Math.log2(state.ring.length + 2)))
}

/** Builds the heartbeat for one host. `first` names hosts whose entries come first. */
export function buildHeartbeat (state: MembershipState, receiver: string, first: readonly string[] = []): Heartbeat {
  const hosts = new Set<string>()
  // The receiver must learn that it is suspected, since only it can object.
  if (state.suspected.has(receiver) || state.dropped.has(receiver)) hosts.add(receiver)
  first.slice(0, maximumMembersCarried).forEach(host => { if (host !== receiver) hosts.add(host) })
  takeChanges(state, maximumMembersCarried - hosts.size, receiver).forEach(host => hosts.add(host))
  takeInTurn(state, Math.min(regularMembers, maximumMembersCarried - hosts.size), receiver).forEach(host => hosts.add(host))
  const members = Array.from(hosts)
    .slice(0, maximumMembersCarried)
    .map(host => state.records.get(host))
    .filter((record): record is MemberRecord => record !== undefined)
    .map(reportRecord)
  return { sender: { ...state.own }, members }
}

function reportRecord (record: MemberRecord): MemberEntry {
  return { ...record.entry, suspected: record.status !== MemberStatus.Live }
}

function takeChanges (state: MembershipState, count: number, receiver: string): string[] {
  const taken: Array<[string, number]> = []
  for (const change of state.changes) {
    if (taken.length >= count) break
    if (change[0] !== receiver) taken.push(change)
  }
  taken.forEach(([host, remaining]) => {
    // Deleting and setting moves the entry to the end, so that all changes get their turn.
    state.changes.delete(host)
    if (remaining > 1) state.changes.set(host, remaining - 1)
  })
  return taken.map(([host]) => host)
}

function takeInTurn (state: MembershipState, count: number, receiver: string): string[] {
  return Array.from({ length: Math.min(count, state.ring.length) }, () => {
    state.roundRobin = (state.roundRobin + 1) % state.ring.length
    return state.ring[state.roundRobin]?.entry.host ?? receiver
  }).filter(host => host !== receiver)
}
