// The view that one entry host has of the others. Live members form a ring ordered by a hash of their
// names, so that hosts of one rack, which may fail together and often have similar names, are not
// neighbours. Processing a heartbeat has constant cost, except for insertions into the ring, which happen
// only on changes.
import type { MemberEntry } from './memberEntry.js'

/** Status of a member in the view of this host. */
export enum MemberStatus {
  Live = 'live',
  /** Two exchanges failed, on this or another host. Excluded from addresses unless it refutes the suspicion in time. */
  Suspected = 'suspected',
  /** Suspected for `dropAfterMilliseconds`. Kept so that older entries do not add it again, and so that it can be contacted again. */
  Dropped = 'dropped'
}

/** What this host knows about one member. */
export interface MemberRecord {
  entry: MemberEntry
  status: MemberStatus
  ringKey: number
  /** When the status last changed in this host's view. */
  changedAt: number
  /** When the member was first suspected by any host, in this host's time. */
  suspectedAt: number
  failures: number
  /** Failed exchanges of this host with the member are not counted before this time. */
  ignoreFailuresUntil: number
}

/** An entry host on the platform's host list. */
export interface ListedHost {
  host: string
  peerAddress: string
  leaving: boolean
}

/** A token bucket for heartbeats sent outside the regular interval. */
export interface TokenBucket {
  tokens: number
  refilledAt: number
}

/** State of `stepMembership`; modified only by this package. */
export interface MembershipState {
  own: MemberEntry
  records: Map<string, MemberRecord>
  /** Live members, ordered by `ringKey`, without this host. */
  ring: MemberRecord[]
  /** Hosts in the order in which they were suspected. */
  suspected: Set<string>
  /** Hosts in the order in which they were dropped. */
  dropped: Set<string>
  /** Hosts whose entries changed, with the number of heartbeats in which each is still to be sent. */
  changes: Map<string, number>
  /** Hosts on the host list that were not live members when it was read. */
  listedNonMembers: ListedHost[]
  changeBucket: TokenBucket
  bundleBucket: TokenBucket
  retryBucket: TokenBucket
  /** Members that failed to answer once and are contacted again at the next ticks. */
  retries: Set<string>
  ticks: number
  tickedAt: number
  ignoreFailuresUntil: number
  roundRobinPosition: number
  /** The ring key from which on this host still has to synchronize the members; undefined once it knows all of them. */
  synchronizeFrom: number | undefined
  /** The boot ID, different from this process's, under which this host was last reported. */
  lastReportedBootId: string
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
/** An exchange without an answer is reported as failed after at most this time. */
export const exchangeTimeoutMilliseconds = 500
/** The time in which a suspected host can refute the suspicion before it is excluded from addresses. The ring
 * contacts a failed host within 1 s, two exchanges time out within 1 s in total, and 0.4 s are left for
 * dissemination. */
export const suspicionTimeoutMilliseconds = 600
export const dropAfterMilliseconds = 30_000
/** Longer than the hour-long partitions that must be expected. */
export const removeAfterMilliseconds = 7_200_000
export const maximumMembers = 1_024
/** Burst of additional heartbeats after changes; the bucket refills with one token per second. */
export const changeBucketCapacity = 6
export const tokensPerMillisecond = 0.001
export const retryBucketCapacity = 3
export const gossipFanout = 3
export const lowestRingKey = 0
export const highestRingKey = 0xffff_ffff

/** Creates the state of a host that knows no other hosts. */
export function createMembershipState (options: CreateMembershipStateOptions): MembershipState {
  const { now, bundleVersion = 0, ...identity } = options
  return {
    own: { ...identity, bundleVersion, counter: 1, leaving: false, suspected: false, suspectedMilliseconds: 0 },
    records: new Map(),
    ring: [],
    suspected: new Set(),
    dropped: new Set(),
    changes: new Map(),
    listedNonMembers: [],
    changeBucket: { tokens: changeBucketCapacity, refilledAt: now },
    bundleBucket: { tokens: gossipFanout, refilledAt: now },
    retryBucket: { tokens: retryBucketCapacity, refilledAt: now },
    retries: new Set(),
    ticks: 0,
    tickedAt: now,
    ignoreFailuresUntil: now,
    roundRobinPosition: 0,
    synchronizeFrom: lowestRingKey,
    lastReportedBootId: ''
  }
}

/** Changes the status of a member. */
export function setMemberStatus (state: MembershipState, record: MemberRecord, status: MemberStatus, now: number): void {
  const { host } = record.entry
  if (record.status === MemberStatus.Live) removeFromRing(state, record)
  state.suspected.delete(host)
  state.dropped.delete(host)
  record.status = status
  record.changedAt = now
  record.failures = 0
  statusIndexers[status](state, record)
}

const statusIndexers: Record<MemberStatus, (state: MembershipState, record: MemberRecord) => void> = {
  [MemberStatus.Live]: insertIntoRing,
  [MemberStatus.Suspected]: ({ suspected }, { entry }) => { suspected.add(entry.host) },
  [MemberStatus.Dropped]: ({ dropped }, { entry }) => { dropped.add(entry.host) }
}

/** Adds a live member. Returns undefined if the table is full and has no dropped member to evict. */
export function addMember (state: MembershipState, entry: MemberEntry, now: number): MemberRecord | undefined {
  if (state.records.size >= maximumMembers) {
    const [oldest] = state.dropped
    if (oldest === undefined) return undefined
    removeMember(state, oldest)
  }
  const record: MemberRecord = { entry, status: MemberStatus.Live, ringKey: hashName(entry.host), changedAt: now, suspectedAt: now, failures: 0, ignoreFailuresUntil: now }
  state.records.set(entry.host, record)
  insertIntoRing(state, record)
  return record
}

/** Removes a dropped member. */
export function removeMember (state: MembershipState, host: string): void {
  state.records.delete(host)
  state.dropped.delete(host)
}

/** Takes one token from the bucket. Returns whether a token was available. */
export function takeToken (bucket: TokenBucket, capacity: number, now: number): boolean {
  const elapsed = Math.max(now - bucket.refilledAt, 0)
  bucket.tokens = Math.min(bucket.tokens + elapsed * tokensPerMillisecond, capacity)
  bucket.refilledAt = now
  if (bucket.tokens < 1) return false
  bucket.tokens -= 1
  return true
}

/** Returns the position in the ring of the first member at or after the key and host name. */
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

/** Returns the 32-bit FNV-1a hash of a name, with a final mixing step because similar names differ in few bits. */
export function hashName (name: string): number {
  const hash = Array.from(name).reduce((value, character) => Math.imul(value ^ character.charCodeAt(0), 0x0100_0193), 0x811c_9dc5 | 0)
  const mixed = Math.imul(hash ^ (hash >>> 16), 0x45d9_f3b)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
