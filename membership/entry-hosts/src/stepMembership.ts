// Finds out which entry hosts are up, at a cost for each host that does not depend on their number.
// Every interval a host sends one heartbeat, in turn to its successor in the ring and to a random peer,
// so a host that fails is noticed by its predecessor within two intervals. A failed exchange is repeated
// once; if that fails too, the host is suspected and the suspicion is passed on at once. The suspected
// host learns of it from the next host that it talks to and objects by raising its counter; if it
// does not object in time it is left out of addresses. All sends outside the interval draw on token buckets.
import { pickIndex, type Random } from '@siskinbeam/random/createRandom'
import { buildHeartbeat, buildMemberList, carryChange, isDoubted, noteMemberList } from './buildHeartbeat.js'
import { chooseRandomPeers } from './listEntryHosts.js'
import type { Heartbeat, MemberEntry } from './memberEntry.js'
import {
  allowanceCapacity, dropMilliseconds, findRingPosition, forgetMember, forgetMilliseconds, hashName, heartbeatIntervalMilliseconds,
  MemberStatus, retryCapacity, setMemberStatus, spreadPeers, takeAllowance, type ListedHost, type MemberRecord, type MembershipState
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

/** What happened. */
export type MembershipEvent =
  /** Each `heartbeatIntervalMilliseconds`, with a few percent of jitter. */
  | { kind: MembershipEventKind.Tick }
  /** A heartbeat arrived, as a request (`answerRequired`) or as the answer to one. */
  | { kind: MembershipEventKind.HeartbeatReceived, heartbeat: Heartbeat, answerRequired: boolean }
  /** A heartbeat was not answered within `exchangeTimeoutMilliseconds`. `peer` is that of the command. */
  | { kind: MembershipEventKind.ExchangeFailed, peer: HeartbeatPeer }
  /** The host list was read; `hosts` are the entry hosts on it. */
  | { kind: MembershipEventKind.HostListRead, hosts: ListedHost[] }
  /** This host applies another bundle. */
  | { kind: MembershipEventKind.BundleActivated, bundleVersion: number }
  /** This host begins its graceful shutdown. */
  | { kind: MembershipEventKind.Leaving }

export enum MembershipCommandKind {
  SendHeartbeat = 'send-heartbeat',
  AnswerHeartbeat = 'answer-heartbeat',
  ReportLaterBoot = 'report-later-boot'
}

/** Whom a heartbeat goes to. The boot id and data centre are absent if only the host list names the host. */
export type HeartbeatPeer = Pick<MemberEntry, 'host' | 'peerAddress'> & Partial<Pick<MemberEntry, 'bootId' | 'dataCentre'>>

/** What to do. */
export type MembershipCommand =
  | { kind: MembershipCommandKind.SendHeartbeat, peer: HeartbeatPeer, heartbeat: Heartbeat }
  /** The answer to the request that was passed in. */
  | { kind: MembershipCommandKind.AnswerHeartbeat, heartbeat: Heartbeat }
  /** Another process runs under this host's name and has a later boot id, so the other hosts ignore
   * this one. Either this process was replaced, or its clock is behind and it needs a greater boot id. */
  | { kind: MembershipCommandKind.ReportLaterBoot, bootId: string }

export interface StepMembershipOptions {
  state: MembershipState
  event: MembershipEvent
  now: number
  random: Random
}

type Step<Kind extends MembershipEventKind> = (state: MembershipState, event: Extract<MembershipEvent, { kind: Kind }>, now: number, random: Random) => MembershipCommand[]

/** One heartbeat in 10 goes to a host that is not a live member, in place of one to a random peer. */
const unheardTicks = 10
/** A host that missed ticks for so long was paused, and its exchanges failed for that reason. */
const pauseMilliseconds = 3 * heartbeatIntervalMilliseconds
const afterPauseMilliseconds = 1_000
/** A host that this one can't reach but that objects is left to the judgement of others for a while. */
const ignoreFailuresMilliseconds = 30_000
/** With fewer live peers there is nobody else to judge. */
const judgingPeers = 3
const failuresBeforeSuspicion = 2
const successorsTried = 4

const steps: { [Kind in MembershipEventKind]: Step<Kind> } = {
  [MembershipEventKind.Tick]: stepTick,
  [MembershipEventKind.HeartbeatReceived]: stepHeartbeat,
  [MembershipEventKind.ExchangeFailed]: stepFailure,
  [MembershipEventKind.HostListRead]: (state, { hosts }) => {
    // The list lags, so it only names hosts to ask; whether a host is up or leaving it says itself.
    state.unheardHosts = hosts.filter(({ host, leaving }) => !leaving && host !== state.own.host && !isLive(state, host))
    return []
  },
  [MembershipEventKind.BundleActivated]: (state, { bundleVersion }, now, random) => {
    state.own.bundleVersion = bundleVersion
    state.own.counter += 1
    return chooseRandomPeers(state, spreadPeers, random)
      .filter(() => takeAllowance(state.bundleAllowance, spreadPeers, now))
      .map(peer => sendTo(state, peer, now))
  },
  [MembershipEventKind.Leaving]: (state, _event, now, random) => {
    state.own.leaving = true
    state.own.counter += 1
    return spread(state, [], now, random)
  }
}

/** Applies one event and returns what to do. */
export function stepMembership ({ state, event, now, random }: StepMembershipOptions): MembershipCommand[] {
  const step = steps[event.kind] as Step<typeof event.kind>
  return step(state, event, now, random)
}

function stepTick (state: MembershipState, _event: MembershipEvent, now: number, random: Random): MembershipCommand[] {
  if (now - state.tickedAt > pauseMilliseconds) state.ignoreFailuresUntil = now + afterPauseMilliseconds
  state.tickedAt = now
  state.ticks += 1
  expireOldest(state, state.suspected, now - dropMilliseconds, record => { setMemberStatus(state, record, MemberStatus.Dropped, now) })
  expireOldest(state, state.dropped, now - forgetMilliseconds, record => { forgetMember(state, record.entry.host) })
  const peer = takeRetry(state) ?? chooseTickPeer(state, random)
  return peer === undefined ? [] : [sendTo(state, peer, now)]
}

function stepHeartbeat (state: MembershipState, event: Extract<MembershipEvent, { kind: MembershipEventKind.HeartbeatReceived }>, now: number, random: Random): MembershipCommand[] {
  const { sender, members } = event.heartbeat
  const entries = [{ ...sender, suspected: false }, ...members]
  const own = entries.filter(({ host }) => host === state.own.host).flatMap(entry => mergeOwn(state, entry))
  const effects = entries
    .filter(({ host }) => host !== state.own.host)
    .map(entry => ({ host: entry.host, effect: mergeEntry(state, entry, now) }))
  const record = state.records.get(sender.host)
  if (record !== undefined && record.entry.bootId === sender.bootId) record.failures = 0
  effects.filter(({ effect }) => effect === MergeEffect.Carry || effect === MergeEffect.Spread).forEach(({ host }) => { carryChange(state, host) })

  const corrections = effects.filter(({ effect }) => effect === MergeEffect.Correct).map(({ host }) => host)
  const urgent = effects.filter(({ effect }) => effect === MergeEffect.Spread).map(({ host }) => host)
  const objects = own.some(({ objects }) => objects)
  const answer = event.answerRequired ? [answerTo(state, event.heartbeat, now, corrections)] : learnMore(state, event.heartbeat, now, random)
  // An objection in the answer reaches the sender of a request; an answer's sender needs a heartbeat.
  const informant = objects && !event.answerRequired ? [sender] : []
  const sends = urgent.length > 0 || objects ? spread(state, urgent, now, random, spreadPeers, informant) : []
  return [...answer, ...sends, ...own.flatMap(({ commands }) => commands)]
}

function stepFailure (state: MembershipState, { peer }: Extract<MembershipEvent, { kind: MembershipEventKind.ExchangeFailed }>, now: number, random: Random): MembershipCommand[] {
  const record = state.records.get(peer.host)
  if (record === undefined || record.status !== MemberStatus.Live || record.entry.bootId !== peer.bootId) return []
  const othersJudge = state.ring.length >= judgingPeers
  if (now < state.ignoreFailuresUntil || (othersJudge && now < record.ignoreFailuresUntil)) return []
  record.failures += 1
  if (record.failures < failuresBeforeSuspicion) return retryExchange(state, record, now)
  record.ignoreFailuresUntil = now + ignoreFailuresMilliseconds
  suspectMember(state, record, now)
  carryChange(state, peer.host)
  return spread(state, [peer.host], now, random)
}

/** Repeats an exchange at once or, without an allowance, at the next tick. */
function retryExchange (state: MembershipState, { entry }: MemberRecord, now: number): MembershipCommand[] {
  if (takeAllowance(state.retryAllowance, retryCapacity, now)) return [sendTo(state, entry, now)]
  state.retries.add(entry.host)
  return []
}

function answerTo (state: MembershipState, { sender, membersFrom }: Heartbeat, now: number, first: readonly string[]): MembershipCommand {
  const heartbeat = membersFrom === undefined || first.includes(sender.host) || isDoubted(state, sender.host)
    ? buildHeartbeat(state, sender.host, now, first)
    : buildMemberList(state, sender.host, now, membersFrom)
  return { kind: MembershipCommandKind.AnswerHeartbeat, heartbeat }
}

/** Asks a random member for further ones until all are known. */
function learnMore (state: MembershipState, answer: Heartbeat, now: number, random: Random): MembershipCommand[] {
  if (state.learnFrom === undefined) return []
  noteMemberList(state, answer)
  return state.learnFrom === undefined ? [] : spread(state, [], now, random, 1)
}

/** Merges a report about this host. */
function mergeOwn (state: MembershipState, entry: MemberEntry): Array<{ objects: boolean, commands: MembershipCommand[] }> {
  const { own } = state
  if (entry.bootId === own.bootId) {
    if (!entry.suspected || entry.counter < own.counter) return []
    own.counter = entry.counter + 1
    return [{ objects: true, commands: [] }]
  }
  if (entry.bootId === state.otherBootId) return []
  state.otherBootId = entry.bootId
  own.counter += 1
  const later = entry.bootId > own.bootId
  return [{ objects: true, commands: later ? [{ kind: MembershipCommandKind.ReportLaterBoot, bootId: entry.bootId }] : [] }]
}

/** Passes changes on to random peers at once, as far as the allowance goes. */
function spread (state: MembershipState, hosts: readonly string[], now: number, random: Random, count = spreadPeers, informants: readonly MemberEntry[] = []): MembershipCommand[] {
  return [...informants, ...chooseRandomPeers(state, count, random)]
    .filter(({ host }) => !hosts.includes(host))
    .filter(() => takeAllowance(state.changeAllowance, allowanceCapacity, now))
    .map(peer => sendTo(state, peer, now, hosts))
}

function sendTo (state: MembershipState, { host, peerAddress, bootId, dataCentre }: HeartbeatPeer, now: number, first: readonly string[] = []): MembershipCommand {
  return { kind: MembershipCommandKind.SendHeartbeat, peer: { host, peerAddress, bootId, dataCentre }, heartbeat: buildHeartbeat(state, host, now, first) }
}

function takeRetry ({ retries, records }: MembershipState): MemberEntry | undefined {
  const [host] = retries
  if (host === undefined) return undefined
  retries.delete(host)
  const record = records.get(host)
  return record?.status === MemberStatus.Live && record.failures > 0 ? record.entry : undefined
}

function chooseTickPeer (state: MembershipState, random: Random): HeartbeatPeer | undefined {
  const nobodyLive = state.ring.length === 0
  const unheard = state.ticks % unheardTicks === unheardTicks - 1 || nobodyLive ? chooseUnheard(state, random) : undefined
  if (unheard !== undefined || nobodyLive) return unheard
  return state.ticks % 2 === 0 ? chooseSuccessor(state) : chooseRandomPeers(state, 1, random)[0]
}

/** The next member in the ring. One that did not answer is passed over, since it is being asked again. */
function chooseSuccessor ({ ring, own }: MembershipState): MemberEntry | undefined {
  const position = findRingPosition(ring, hashName(own.host), own.host)
  const followers = Array.from({ length: Math.min(successorsTried, ring.length) }, (_, offset) => ring[(position + offset) % ring.length] as MemberRecord)
  return (followers.find(({ failures }) => failures === 0) ?? followers[0])?.entry
}

function chooseUnheard (state: MembershipState, random: Random): HeartbeatPeer | undefined {
  const lost = (hosts: Set<string>): HeartbeatPeer[] => Array.from(hosts, host => state.records.get(host)?.entry).filter(entry => entry !== undefined)
  const groups = [state.unheardHosts.filter(({ host }) => !isLive(state, host)), lost(state.suspected), lost(state.dropped)].filter(({ length }) => length > 0)
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
