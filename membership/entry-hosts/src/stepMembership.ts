// Detects which entry hosts are up, at a cost per host that does not depend on the number of hosts. In every
// interval a host sends one heartbeat, alternating between its successor in the ring and a random peer, so
// the predecessor of a failed host notices the failure within two intervals. A failed exchange is retried
// once. If the retry fails too, the host is suspected and the suspicion is disseminated immediately. The
// suspected host learns of it from the next host that it exchanges heartbeats with, and refutes it by
// incrementing its counter. If it does not refute it in time, it is excluded from addresses. All sends
// outside the interval are limited by token buckets.
import { pickIndex, type Random } from '@siskinbeam/random/createRandom'
import { buildHeartbeat, buildMemberList, queueChange, isSuspectedOrDropped, advanceSynchronization } from './buildHeartbeat.js'
import { chooseRandomPeers } from './listEntryHosts.js'
import type { Heartbeat, MemberEntry } from './memberEntry.js'
import {
  changeBucketCapacity, dropAfterMilliseconds, findRingPosition, removeMember, removeAfterMilliseconds, hashName, heartbeatIntervalMilliseconds,
  MemberStatus, retryBucketCapacity, setMemberStatus, gossipFanout, takeToken, type ListedHost, type MemberRecord, type MembershipState
} from './membershipState.js'
import { mergeEntry, MergeEffect, suspectMember } from './mergeEntry.js'

export enum MembershipEventKind {
  Tick = 'tick',
  HeartbeatReceived = 'heartbeat-received',
  ExchangeFailed = 'exchange-failed',
  HostListRead = 'host-list-read',
  BundleActivated = 'bundle-activated',
  Leaving = 'leaving'
}

/** An input of the membership state machine. */
export type MembershipEvent =
  /** Occurs every `heartbeatIntervalMilliseconds`, with a few percent of jitter. */
  | { kind: MembershipEventKind.Tick }
  /** A heartbeat arrived, either as a request (`answerRequired`) or as the answer to one. */
  | { kind: MembershipEventKind.HeartbeatReceived, heartbeat: Heartbeat, answerRequired: boolean }
  /** A heartbeat was not answered within `exchangeTimeoutMilliseconds`. `peer` is the peer of the command. */
  | { kind: MembershipEventKind.ExchangeFailed, peer: HeartbeatPeer }
  /** The host list was read; `hosts` are the entry hosts on it. */
  | { kind: MembershipEventKind.HostListRead, hosts: ListedHost[] }
  /** This host activated another bundle. */
  | { kind: MembershipEventKind.BundleActivated, bundleVersion: number }
  /** This host begins its graceful shutdown. */
  | { kind: MembershipEventKind.Leaving }

export enum MembershipCommandKind {
  SendHeartbeat = 'send-heartbeat',
  AnswerHeartbeat = 'answer-heartbeat',
  ReportLaterBoot = 'report-later-boot'
}

/** The receiver of a heartbeat. The boot ID and data centre are absent if the host is known only from the host list. */
export type HeartbeatPeer = Pick<MemberEntry, 'host' | 'peerAddress'> & Partial<Pick<MemberEntry, 'bootId' | 'dataCentre'>>

/** An action that the caller executes. */
export type MembershipCommand =
  | { kind: MembershipCommandKind.SendHeartbeat, peer: HeartbeatPeer, heartbeat: Heartbeat }
  /** Send this answer to the heartbeat request that was passed in. */
  | { kind: MembershipCommandKind.AnswerHeartbeat, heartbeat: Heartbeat }
  /** Another process runs under this host's name with a later boot ID, so the other hosts ignore this
   * process. Either this process was replaced, or its clock is behind and it needs a greater boot ID. */
  | { kind: MembershipCommandKind.ReportLaterBoot, bootId: string }

export interface StepMembershipOptions {
  state: MembershipState
  event: MembershipEvent
  now: number
  random: Random
}

type Step<Kind extends MembershipEventKind> = (state: MembershipState, event: Extract<MembershipEvent, { kind: Kind }>, now: number, random: Random) => MembershipCommand[]

/** One heartbeat in 10 is sent to a host that is not a live member, instead of a random peer. */
const nonMemberTickInterval = 10
/** A host that missed ticks for longer than this was paused, and its exchanges failed for that reason. */
const pauseThresholdMilliseconds = 3 * heartbeatIntervalMilliseconds
const pauseGraceMilliseconds = 1_000
/** After this host suspected a member, it ignores its own failed exchanges with it for this time. If the member
 * refutes the suspicion but is unreachable only from this host, the other hosts decide whether it is up. */
const ignoreFailuresMilliseconds = 30_000
/** With fewer live peers, there are no other hosts to rely on for failure detection. */
const minimumPeersForDeferral = 3
const failuresBeforeSuspicion = 2
const successorCandidates = 4

const steps: { [Kind in MembershipEventKind]: Step<Kind> } = {
  [MembershipEventKind.Tick]: stepTick,
  [MembershipEventKind.HeartbeatReceived]: stepHeartbeat,
  [MembershipEventKind.ExchangeFailed]: stepFailure,
  [MembershipEventKind.HostListRead]: (state, { hosts }) => {
    // The list is delayed, so it is used only to find hosts to contact; each host reports itself whether it is up or leaving.
    state.listedNonMembers = hosts.filter(({ host, leaving }) => !leaving && host !== state.own.host && !isLive(state, host))
    return []
  },
  [MembershipEventKind.BundleActivated]: (state, { bundleVersion }, now, random) => {
    state.own.bundleVersion = bundleVersion
    state.own.counter += 1
    return chooseRandomPeers(state, gossipFanout, random)
      .filter(() => takeToken(state.bundleBucket, gossipFanout, now))
      .map(peer => createSend(state, peer, now))
  },
  [MembershipEventKind.Leaving]: (state, _event, now, random) => {
    state.own.leaving = true
    state.own.counter += 1
    return disseminate(state, [], now, random)
  }
}

/** Applies one event and returns the commands to execute. */
export function stepMembership ({ state, event, now, random }: StepMembershipOptions): MembershipCommand[] {
  const step = steps[event.kind] as Step<typeof event.kind>
  return step(state, event, now, random)
}

function stepTick (state: MembershipState, _event: MembershipEvent, now: number, random: Random): MembershipCommand[] {
  if (now - state.tickedAt > pauseThresholdMilliseconds) state.ignoreFailuresUntil = now + pauseGraceMilliseconds
  state.tickedAt = now
  state.ticks += 1
  expireOldest(state, state.suspected, now - dropAfterMilliseconds, record => { setMemberStatus(state, record, MemberStatus.Dropped, now) })
  expireOldest(state, state.dropped, now - removeAfterMilliseconds, record => { removeMember(state, record.entry.host) })
  const peer = dequeueRetry(state) ?? chooseTickPeer(state, random)
  return peer === undefined ? [] : [createSend(state, peer, now)]
}

function stepHeartbeat (state: MembershipState, event: Extract<MembershipEvent, { kind: MembershipEventKind.HeartbeatReceived }>, now: number, random: Random): MembershipCommand[] {
  const { sender, members } = event.heartbeat
  const entries = [{ ...sender, suspected: false }, ...members]
  const own = entries.filter(({ host }) => host === state.own.host).flatMap(entry => mergeOwnEntry(state, entry))
  const effects = entries
    .filter(({ host }) => host !== state.own.host)
    .map(entry => ({ host: entry.host, effect: mergeEntry(state, entry, now) }))
  const record = state.records.get(sender.host)
  if (record !== undefined && record.entry.bootId === sender.bootId) record.failures = 0
  effects.filter(({ effect }) => effect === MergeEffect.Piggyback || effect === MergeEffect.Disseminate).forEach(({ host }) => { queueChange(state, host) })

  const corrections = effects.filter(({ effect }) => effect === MergeEffect.Correct).map(({ host }) => host)
  const urgent = effects.filter(({ effect }) => effect === MergeEffect.Disseminate).map(({ host }) => host)
  const refutes = own.some(({ refutes }) => refutes)
  const answer = event.answerRequired ? [createAnswer(state, event.heartbeat, now, corrections)] : continueSynchronization(state, event.heartbeat, now, random)
  // The sender of a request receives the refutation in the answer; the sender of an answer needs a heartbeat.
  const extraReceivers = refutes && !event.answerRequired ? [sender] : []
  const sends = urgent.length > 0 || refutes ? disseminate(state, urgent, now, random, gossipFanout, extraReceivers) : []
  return [...answer, ...sends, ...own.flatMap(({ commands }) => commands)]
}

function stepFailure (state: MembershipState, { peer }: Extract<MembershipEvent, { kind: MembershipEventKind.ExchangeFailed }>, now: number, random: Random): MembershipCommand[] {
  const record = state.records.get(peer.host)
  if (record === undefined || record.status !== MemberStatus.Live || record.entry.bootId !== peer.bootId) return []
  const canDefer = state.ring.length >= minimumPeersForDeferral
  if (now < state.ignoreFailuresUntil || (canDefer && now < record.ignoreFailuresUntil)) return []
  record.failures += 1
  if (record.failures < failuresBeforeSuspicion) return retryExchange(state, record, now)
  record.ignoreFailuresUntil = now + ignoreFailuresMilliseconds
  suspectMember(state, record, now)
  queueChange(state, peer.host)
  return disseminate(state, [peer.host], now, random)
}

/** Retries an exchange immediately, or at a later tick if the token bucket is empty. */
function retryExchange (state: MembershipState, { entry }: MemberRecord, now: number): MembershipCommand[] {
  if (takeToken(state.retryBucket, retryBucketCapacity, now)) return [createSend(state, entry, now)]
  state.retries.add(entry.host)
  return []
}

function createAnswer (state: MembershipState, { sender, membersFrom }: Heartbeat, now: number, first: readonly string[]): MembershipCommand {
  const heartbeat = membersFrom === undefined || first.includes(sender.host) || isSuspectedOrDropped(state, sender.host)
    ? buildHeartbeat(state, sender.host, now, first)
    : buildMemberList(state, sender.host, now, membersFrom)
  return { kind: MembershipCommandKind.AnswerHeartbeat, heartbeat }
}

/** Requests further members from a random member until all are known. */
function continueSynchronization (state: MembershipState, answer: Heartbeat, now: number, random: Random): MembershipCommand[] {
  if (state.synchronizeFrom === undefined) return []
  advanceSynchronization(state, answer)
  return state.synchronizeFrom === undefined ? [] : disseminate(state, [], now, random, 1)
}

/** Merges an entry about this host that another host reported. */
function mergeOwnEntry (state: MembershipState, entry: MemberEntry): Array<{ refutes: boolean, commands: MembershipCommand[] }> {
  const { own } = state
  if (entry.bootId === own.bootId) {
    if (!entry.suspected || entry.counter < own.counter) return []
    own.counter = entry.counter + 1
    return [{ refutes: true, commands: [] }]
  }
  if (entry.bootId === state.lastReportedBootId) return []
  state.lastReportedBootId = entry.bootId
  own.counter += 1
  const later = entry.bootId > own.bootId
  return [{ refutes: true, commands: later ? [{ kind: MembershipCommandKind.ReportLaterBoot, bootId: entry.bootId }] : [] }]
}

/** Sends changes to random peers immediately, as far as the token bucket allows. */
function disseminate (state: MembershipState, hosts: readonly string[], now: number, random: Random, count = gossipFanout, extraReceivers: readonly MemberEntry[] = []): MembershipCommand[] {
  return [...extraReceivers, ...chooseRandomPeers(state, count, random)]
    .filter(({ host }) => !hosts.includes(host))
    .filter(() => takeToken(state.changeBucket, changeBucketCapacity, now))
    .map(peer => createSend(state, peer, now, hosts))
}

function createSend (state: MembershipState, { host, peerAddress, bootId, dataCentre }: HeartbeatPeer, now: number, first: readonly string[] = []): MembershipCommand {
  return { kind: MembershipCommandKind.SendHeartbeat, peer: { host, peerAddress, bootId, dataCentre }, heartbeat: buildHeartbeat(state, host, now, first) }
}

function dequeueRetry ({ retries, records }: MembershipState): MemberEntry | undefined {
  const [host] = retries
  if (host === undefined) return undefined
  retries.delete(host)
  const record = records.get(host)
  return record?.status === MemberStatus.Live && record.failures > 0 ? record.entry : undefined
}

function chooseTickPeer (state: MembershipState, random: Random): HeartbeatPeer | undefined {
  const noLiveMembers = state.ring.length === 0
  const nonMember = state.ticks % nonMemberTickInterval === nonMemberTickInterval - 1 || noLiveMembers ? chooseNonMember(state, random) : undefined
  if (nonMember !== undefined || noLiveMembers) return nonMember
  return state.ticks % 2 === 0 ? chooseSuccessor(state) : chooseRandomPeers(state, 1, random)[0]
}

/** Chooses the next member in the ring. Members with a failed exchange are skipped, because they are being retried. */
function chooseSuccessor ({ ring, own }: MembershipState): MemberEntry | undefined {
  const position = findRingPosition(ring, hashName(own.host), own.host)
  const successors = Array.from({ length: Math.min(successorCandidates, ring.length) }, (_, offset) => ring[(position + offset) % ring.length] as MemberRecord)
  return (successors.find(({ failures }) => failures === 0) ?? successors[0])?.entry
}

function chooseNonMember (state: MembershipState, random: Random): HeartbeatPeer | undefined {
  const listPeers = (hosts: Set<string>): HeartbeatPeer[] => Array.from(hosts, host => state.records.get(host)?.entry).filter(entry => entry !== undefined)
  const groups = [state.listedNonMembers.filter(({ host }) => !isLive(state, host)), listPeers(state.suspected), listPeers(state.dropped)].filter(({ length }) => length > 0)
  const group = groups[pickIndex(random, groups.length)] ?? []
  return group[pickIndex(random, group.length)]
}

function isLive (state: MembershipState, host: string): boolean {
  return state.records.get(host)?.status === MemberStatus.Live
}

function expireOldest (state: MembershipState, hosts: Set<string>, before: number, expire: (record: MemberRecord) => void): void {
  for (const host of hosts) {
    const record = state.records.get(host)
    if (record === undefined || record.changedAt > before) return
    expire(record)
  }
}
