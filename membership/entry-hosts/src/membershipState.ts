// The view that one entry host has of the others. Live members stand in a ring ordered by a hash of
// their names, so that hosts of one rack, which may fail together and often have similar names, are
// not neighbours. Every operation of a heartbeat is of constant cost, apart from insertions into the
// ring, which happen only on changes.
import type { MemberEntry } from './memberEntry.js'

/** How a member is judged by this host. */
export enum MemberStatus {
  Live = 'live',
  /** Two exchanges failed, here or at another host; left out of addresses unless it objects in time. */
  Suspected = 'suspected',
  /** Suspected for long. Kept only so that older entries don't bring it back, and to be found again. */
  Dropped = 'dropped'
}

/** One member as this host knows it. */
export interface MemberRecord {
  entry: MemberEntry
  status: MemberStatus
  ringKey: number
  /** When the status last changed here. */
  changedAt: number
  /** When the first host suspected it, by this host's time. */
  suspectedAt: number
  failures: number
  /** Until then failures of this host's own exchanges with the member are not counted. */
  ignoreFailuresUntil: number
}

/** An entry host on the platform's host list. */
export interface ListedHost {
  host: string
  peerAddress: string
  leaving: boolean
}

/** A token bucket for heartbeats sent outside the regular interval. */
export interface SendAllowance {
  tokens: number
  filledAt: number
}

/** The state of `stepMembership`, changed only by this package. */
export interface MembershipState {
  own: MemberEntry
  records: Map<string, MemberRecord>
  /** Live members, ordered by `ringKey`, without this host. */
  ring: MemberRecord[]
  /** Hosts in the order in which they were suspected. */
  suspected: Set<string>
  /** Hosts in the order in which they were dropped. */
  dropped: Set<string>
  /** Hosts whose entries changed, and how many more heartbeats carry them. */
  changes: Map<string, number>
  /** Hosts of the host list that were not live members when it was read. */
  unheardHosts: ListedHost[]
  changeAllowance: SendAllowance
  bundleAllowance: SendAllowance
  retryAllowance: SendAllowance
  /** Members that did not answer once and are to be asked again at the next ticks. */
  retries: Set<string>
  ticks: number
  tickedAt: number
  ignoreFailuresUntil: number
  roundRobin: number
  /** Until this host knows all members, the ring key from which on it has to learn them. */
  learnFrom: number | undefined
  /** The other boot of this host that was last reported. */
  otherBootId: string
}

export interface CreateMembershipStateOptions {
  host: string
  bootId: string
  dataCentre: string
  guestAddress: string
  peerAddress: string
  now: number
  bundleVersion?: number
}

export const heartbeatIntervalMilliseconds = 500
/** A failed exchange is reported after at most this time. */
export const exchangeTimeoutMilliseconds = 500
/** The time in which a suspected host can object before it is left out of addresses. The ring finds a
 * failed host within 1 s, two exchanges time out after 1 s together, and 0.4 s are for spreading it. */
export const objectionMilliseconds = 600
export const dropMilliseconds = 30_000
/** Longer than the hour-long partitions that are to be expected. */
export const forgetMilliseconds = 7_200_000
export const maximumMembers = 1_024
/** Six further heartbeats at once, then one a second. */
export const allowanceCapacity = 6
export const allowancePerMillisecond = 0.001
export const retryCapacity = 3
export const spreadPeers = 3
export const lowestRingKey = 0
export const highestRingKey = 0xffff_ffff

/** Creates the state of a host that knows no other host. */
export function createMembershipState (options: CreateMembershipStateOptions): MembershipState {
  const { now, bundleVersion = 0, ...place } = options
  return {
    own: { ...place, bundleVersion, counter: 1, leaving: false, suspected: false, suspectedMilliseconds: 0 },
    records: new Map(),
    ring: [],
    suspected: new Set(),
    dropped: new Set(),
    changes: new Map(),
    unheardHosts: [],
    changeAllowance: { tokens: allowanceCapacity, filledAt: now },
    bundleAllowance: { tokens: spreadPeers, filledAt: now },
    retryAllowance: { tokens: retryCapacity, filledAt: now },
    retries: new Set(),
    ticks: 0,
    tickedAt: now,
    ignoreFailuresUntil: now,
    roundRobin: 0,
    learnFrom: lowestRingKey,
    otherBootId: ''
  }
}

/** Adds or moves a member to the status given. */
export function setMemberStatus (state: MembershipState, record: MemberRecord, status: MemberStatus, now: number): void {
  const { host } = record.entry
  if (record.status === MemberStatus.Live) removeFromRing(state, record)
  state.suspected.delete(host)
  state.dropped.delete(host)
  record.status = status
  record.changedAt = now
  record.failures = 0
  placeRecord[status](state, record)
}

const placeRecord: Record<MemberStatus, (state: MembershipState, record: MemberRecord) => void> = {
  [MemberStatus.Live]: insertIntoRing,
  [MemberStatus.Suspected]: ({ suspected }, { entry }) => { suspected.add(entry.host) },
  [MemberStatus.Dropped]: ({ dropped }, { entry }) => { dropped.add(entry.host) }
}

/** Adds a live member. Returns nothing if the table is full of members that are not dropped. */
export function addMember (state: MembershipState, entry: MemberEntry, now: number): MemberRecord | undefined {
  if (state.records.size >= maximumMembers) {
    const [oldest] = state.dropped
    if (oldest === undefined) return undefined
    forgetMember(state, oldest)
  }
  const record: MemberRecord = { entry, status: MemberStatus.Live, ringKey: hashName(entry.host), changedAt: now, suspectedAt: now, failures: 0, ignoreFailuresUntil: now }
  state.records.set(entry.host, record)
  insertIntoRing(state, record)
  return record
}

/** Removes a dropped member. */
export function forgetMember (state: MembershipState, host: string): void {
  state.records.delete(host)
  state.dropped.delete(host)
}

/** Takes one token if there is one. */
export function takeAllowance (allowance: SendAllowance, capacity: number, now: number): boolean {
  const elapsed = Math.max(now - allowance.filledAt, 0)
  allowance.tokens = Math.min(allowance.tokens + elapsed * allowancePerMillisecond, capacity)
  allowance.filledAt = now
  if (allowance.tokens < 1) return false
  allowance.tokens -= 1
  return true
}

/** The position in the ring of the first member that follows the key. */
export function findRingPosition (ring: readonly MemberRecord[], ringKey: number, host: string): number {
  let low = 0
  let high = ring.length
  while (low < high) {
    const middle = (low + high) >>> 1
    const record = ring[middle] as MemberRecord
    const before = record.ringKey < ringKey || (record.ringKey === ringKey && record.entry.host < host)
    if (before) low = middle + 1
    else high = middle
  }
  return low
}

function insertIntoRing ({ ring }: MembershipState, record: MemberRecord): void {
  ring.splice(findRingPosition(ring, record.ringKey, record.entry.host), 0, record)
}

function removeFromRing ({ ring }: MembershipState, record: MemberRecord): void {
  ring.splice(findRingPosition(ring, record.ringKey, record.entry.host), 1)
}

/** FNV-1a hash of a name, 32 bits, with a final mix because similar names differ in few bits. */
export function hashName (name: string): number {
  const hash = Array.from(name).reduce((value, character) => Math.imul(value ^ character.charCodeAt(0), 0x0100_0193), 0x811c_9dc5 | 0)
  const mixed = Math.imul(hash ^ (hash >>> 16), 0x45d9_f3b)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
