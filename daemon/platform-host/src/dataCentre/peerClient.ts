// Client for calls to other entry hosts. Updates in a reply are applied to the view, the member list and the hosts that
// can be chosen as source.
import { createHttpSender, type HttpSender } from '@siskinbeam/clients/createHttpSender'
import { isDepartureReport } from '@siskinbeam/server-registry/departureReports'
import { createFollowedList, readFollowedRevision, recordFollowedList } from '@siskinbeam/server-registry/followedList'
import { digestServers } from '@siskinbeam/server-registry/serverRegistry'
import { addHosts, type SourceSelectionState } from '@siskinbeam/watch-duty/sourceSelection'
import type { PlatformHost } from '../platformHost.js'
import { PeerReport } from './ignoredEntries.js'
import type { MemberList } from './memberList.js'
import { introducePath, peerListPath, permitPath, syncPath, decodeViewUpdate, type IntroduceReply, type IntroduceRequest, type Member, type PeerListReply, type PermitReply, type PermitRequest, type SyncReply, type SyncRequest } from './peerMessages.js'
import type { View } from './view.js'

export interface CreatePeerClientOptions {
  host: PlatformHost
  sourceSelection: SourceSelectionState
  own: () => Member
  view: View
  members: MemberList
}

export interface SyncOptions {
  address: string
  /** Name of the called host, for the log. */
  name: string
  waitMilliseconds: number
  follows: boolean
}

export interface PeerClient {
  /** Exchanges updates with a host. Resolves with undefined if the call fails. */
  sync: (options: SyncOptions) => Promise<SyncReply | undefined>
  /** Introduces this host to another one. Resolves with whether the call succeeded. */
  introduce: (address: string) => Promise<boolean>
  /** Requests a permit from the owner of a service. Resolves with undefined if the call fails. */
  requestPermit: (owner: Member, message: PermitRequest) => Promise<PermitReply | undefined>
  /** Requests hosts that may forward requests. Resolves with undefined if the call fails. */
  requestPeers: (address: string) => Promise<unknown>
  close: () => void
}

/** Timeout of a call, in addition to the time that the called host may hold it. */
const callTimeoutMilliseconds = 350
/** Timeout of a call for a permit, for which a guest waits. */
const permitTimeoutMilliseconds = 150
const maximumPermitConnections = 4
const maximumPermitReplyBytes = 16_384
const maximumPeerListBytes = 65_536
/** A reply holds all servers, compressed, and what is known of those with a limit. */
const maximumReplyBytes = 4_194_304
/** Bounds the size of a call. */
const maximumReportedSuspects = 32

/** Creates the client. */
export function createPeerClient ({ host, sourceSelection, own, view, members }: CreatePeerClientOptions): PeerClient {
  const senders = new Map<string, HttpSender>()
  const followedList = createFollowedList()
  let sourceState = { boot: '', membersRevision: 0, limitsRevision: 0, leavingRevision: 0, departuresRevision: 0, crashesRevision: 0 }

  const permitSenders = new Map<string, HttpSender>()
  /** Addresses of hosts that have sent the departures that they know. */
  const introducedTo = new Set<string>()

  const requestPermit = async (owner: Member, message: PermitRequest): Promise<PermitReply | undefined> => {
    // A sync call that is held would block the connection of the other sender.
    const sender = permitSenders.get(owner.peerAddress) ?? createHttpSender({ address: owner.peerAddress, timeoutMilliseconds: permitTimeoutMilliseconds, maximumConnections: maximumPermitConnections, maximumReplyBytes: maximumPermitReplyBytes })
    permitSenders.set(owner.peerAddress, sender)
    const outcome = await sender.send({ method: 'POST', path: permitPath, body: JSON.stringify(message), headers: { 'content-type': 'application/json' } })
    return outcome.replied && outcome.status === 200 ? JSON.parse(outcome.body.toString('utf8')) as PermitReply : undefined
  }

  const send = async <Reply>(address: string, path: string, message: SyncRequest | IntroduceRequest, waitMilliseconds: number): Promise<Reply | undefined> => {
    const sender = senders.get(address) ?? createHttpSender({ address, timeoutMilliseconds: callTimeoutMilliseconds, maximumConnections: 1, maximumReplyBytes })
    senders.set(address, sender)
    const outcome = await sender.send({
      method: 'POST',
      path,
      body: JSON.stringify(message),
      headers: { 'content-type': 'application/json' },
      timeoutMilliseconds: waitMilliseconds + callTimeoutMilliseconds
    })
    host.metrics.count(`peer_calls_total{outcome="${outcome.replied ? outcome.status : 'failed'}"}`)
    return outcome.replied && outcome.status === 200 ? JSON.parse(outcome.body.toString('utf8')) as Reply : undefined
  }

  const applyDepartures = (departures: unknown, from: string): void => {
    if (departures === undefined) return
    if (isDepartureReport(departures)) view.applyDepartures(departures, from)
    else host.ignoreReport(PeerReport.Departures, from)
  }

  const applyReply = (reply: SyncReply, from: string, follows: boolean, leavingServers: string[]): void => {
    const { configuration, servers, members: membersUpdate } = reply.news === undefined ? {} : decodeViewUpdate(reply.news)
    if (configuration !== undefined) view.applyConfiguration(configuration, from)
    if (servers !== undefined) view.applyServers(servers, from)
    applyDepartures(reply.departures, from)
    addHosts(sourceSelection, (membersUpdate?.members ?? []).filter(({ dataCentre }) => dataCentre === host.settings.dataCentre))
    // Only the revisions of the source are stored; revisions of other hosts are not comparable and would overwrite them.
    if (reply.crashSuspects !== undefined) host.crashes.applySuspects(reply.crashSuspects, from)
    if (!follows) return
    host.failureReports.applyFailing(reply.failingServers ?? [])
    host.limitedServers.applyReports(reply.limits, from)
    host.noticedServers.leavingReports.confirm(reply.boot, [...leavingServers, ...host.noticedServers.applyLeaving(reply.leavingServers, from)])
    if (membersUpdate === undefined) members.renewAll()
    else members.applyUpdate(membersUpdate)
    recordFollowedList(followedList, reply.registryRevision, view.registry)
    sourceState = { boot: reply.boot, membersRevision: reply.membersRevision, limitsRevision: reply.limitsRevision, leavingRevision: reply.leavingRevision, departuresRevision: reply.departuresRevision, crashesRevision: reply.crashesRevision }
  }

  return {
    sync: async ({ address, name, waitMilliseconds, follows }) => {
      const sendReport = follows ? host.failureReports.takeReport() : []
      const limits = follows ? host.limitedServers.takeReports() : []
      const leavingServers = follows ? host.noticedServers.leavingReports.listUntold(sourceState.boot) : []
      const crashSuspects = follows ? host.crashes.describe(host.crashRows.listUnwritten().slice(0, maximumReportedSuspects)) : []
      const reply = await send<SyncReply>(address, syncPath, {
        member: own(),
        configurationVersion: view.routes()?.configuration.version ?? 0,
        sourceBoot: sourceState.boot,
        registryRevision: readFollowedRevision(followedList, view.registry),
        registryDigest: digestServers(view.registry),
        membersRevision: sourceState.membersRevision,
        membersDigest: members.digest(),
        limitsRevision: sourceState.limitsRevision,
        ...(limits.length === 0 ? {} : { limits }),
        leavingRevision: sourceState.leavingRevision,
        ...(leavingServers.length === 0 ? {} : { leavingServers }),
        departuresRevision: sourceState.departuresRevision,
        crashesRevision: sourceState.crashesRevision,
        ...(crashSuspects.length === 0 ? {} : { crashSuspects }),
        waitMilliseconds,
        follows,
        ...(sendReport.length === 0 ? {} : { sendReport })
      }, waitMilliseconds)
      if (reply !== undefined) applyReply(reply, name, follows, leavingServers)
      return reply
    },
    introduce: async address => {
      const reply = await send<IntroduceReply>(address, introducePath, { member: own(), wantsDepartures: !introducedTo.has(address) }, 0)
      if (reply === undefined) return false
      introducedTo.add(address)
      applyDepartures(reply.departures, address)
      addHosts(sourceSelection, reply.hosts)
      return true
    },
    requestPermit,
    // A sync call that is held would block the connection of the other sender.
    requestPeers: async address => {
      const sender = createHttpSender({ address, timeoutMilliseconds: permitTimeoutMilliseconds, maximumConnections: 1, maximumReplyBytes: maximumPeerListBytes })
      const outcome = await sender.send({ method: 'POST', path: peerListPath, body: JSON.stringify({ member: own() }), headers: { 'content-type': 'application/json' } })
      sender.close()
      return outcome.replied && outcome.status === 200 ? (JSON.parse(outcome.body.toString('utf8')) as PeerListReply | null)?.hosts : undefined
    },
    close: () => [...senders.values(), ...permitSenders.values()].forEach(sender => sender.close())
  }
}
