// Server for calls of other entry hosts. A sync call without changes is held until something changes (long polling), so
// that followers receive changes at once and a host that terminates is detected by its closed connections.
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { guardServer } from '@siskinbeam/message-heads/guardServer'
import type { PeerHost } from '@siskinbeam/peer-forwarding/peerChoice'
import { sample } from '@siskinbeam/random/createRandom'
import { digestServers, readUpdate } from '@siskinbeam/server-registry/serverRegistry'
import { listIntroduced, recordIntroduction, type IntroductionState } from '@siskinbeam/watch-duty/introductions'
import { listFirstHosts } from '@siskinbeam/watch-duty/sourceSelection'
import type { PlatformHost } from '../platformHost.js'
import { maximumHeadBytes, maximumHeaderBytes } from '../guestListeners.js'
import type { ForwardedRequests } from '../peerForwarding/acceptForwarded.js'
import { isCallMessage, isForwardingOfferRequest, isPermitRequest, isSendReport, isSyncRequest } from './checkPeerMessages.js'
import type { MemberList } from './memberList.js'
import { forwardingOfferPath, introducePath, encodeViewUpdate, peerListPath, permitPath, syncPath, type ForwardingOfferRequest, type IntroduceReply, type IntroduceRequest, type Member, type PeerListReply, type PeerListRequest, type PermitReply, type PermitRequest, type SyncReply, type SyncRequest } from './peerMessages.js'
import type { View } from './view.js'

export interface CreatePeerServerOptions {
  host: PlatformHost
  boot: string
  view: View
  members: MemberList
  introductions: IntroductionState
  confirmedAt: () => number
  failingSince: () => number | undefined
  /** Decides about a permit for another host. */
  answerPermit: (request: PermitRequest) => PermitReply
  /** Requests that other hosts forward to this one. */
  forwardedRequests: ForwardedRequests
  /** Called for each call of a host. */
  onCall: (member: Member, follows: boolean) => void
}

export interface PeerServer {
  server: Server
  /** Answers the pending calls that have changes. */
  answerChanged: () => void
  /** Answers all pending calls. */
  answerAll: () => void
}

/** State of a caller, in versions and revisions of this host. Zero means that the caller has none. */
interface CallerState {
  configurationVersion: number
  registryRevision: number
  membersRevision: number
  limitsRevision: number
  leavingRevision: number
  departuresRevision: number
  crashesRevision: number
}

/** The head of a forwarded request is one of a guest with a line more. */
const forwardedHeadBytes = 4_096
/** A host that is cut off asks a few others. */
const maximumListedHosts = 16
const maximumIntroducedHostsOfOthers = 4
const maximumRequestBytes = 65_536
/** Long polls are shorter while calls of this host to the store fail, so that followers soon learn whether the failure persists. */
const failingLongPollMilliseconds = 130
/** Changes of the member list are batched for this time, so that hosts that start together are announced in a few replies. */
const memberBatchMilliseconds = 100
/** A starting host tries a few hosts before it watches the store itself. */
const maximumIntroducedHosts = 8
/** Followers are in one of a few states, so an encoded update is cached and shared between them. */
const maximumCachedUpdates = 8

/** Creates the server. The caller binds its listener. */
export function createPeerServer (options: CreatePeerServerOptions): PeerServer {
  const { host, view, members } = options
  const pendingCalls = new Set<(force?: boolean) => void>()
  const cachedUpdates = new Map<string, string>()
  let batchTimer: NodeJS.Timeout | undefined

  const readCallerState = (request: SyncRequest): CallerState => {
    const isKnown = request.sourceBoot === options.boot
    const isSameList = request.membersDigest === members.digest()
    const membersRevision = isKnown ? request.membersRevision : 0
    // A caller that names no revision runs a program that would not take the changes either.
    const readRevision = (named: number | undefined, current: number): number => named === undefined ? current : isKnown ? named : 0
    return {
      configurationVersion: request.configurationVersion,
      registryRevision: isKnown && request.registryRevision > 0 ? request.registryRevision : request.registryDigest === digestServers(view.registry) ? view.registry.revision : 0,
      // If the digests differ at the same revision, the caller did not apply the list as it was sent and gets it again.
      membersRevision: isSameList ? members.revision() : membersRevision === members.revision() ? 0 : membersRevision,
      limitsRevision: isKnown ? request.limitsRevision : 0,
      leavingRevision: readRevision(request.leavingRevision, host.noticedServers.leavingReports.revision()),
      // A caller that follows this host sees later departures by the changes of the list.
      departuresRevision: readRevision(request.departuresRevision, view.registry.history.learntRevision),
      crashesRevision: readRevision(request.crashesRevision, host.crashes.revision())
    }
  }

  const encodeUpdate = (caller: CallerState): string => {
    const configuration = view.routes()?.configuration
    const key = [configuration?.version, caller.configurationVersion, view.registry.revision, caller.registryRevision, members.revision(), caller.membersRevision].join(':')
    const encoded = cachedUpdates.get(key) ?? encodeViewUpdate({
      ...(hasNewConfiguration(caller) ? { configuration } : {}),
      ...(hasNewServers(caller) ? { servers: readUpdate(view.registry, caller.registryRevision) } : {}),
      ...(hasNewMembers(caller) ? { members: members.readUpdate(caller.membersRevision) } : {})
    })
    cachedUpdates.set(key, encoded)
    ;[...cachedUpdates.keys()].slice(0, -maximumCachedUpdates).forEach(oldest => cachedUpdates.delete(oldest))
    return encoded
  }
  const hasNewConfiguration = (caller: CallerState): boolean => (view.routes()?.configuration.version ?? 0) > caller.configurationVersion
  const hasNewServers = (caller: CallerState): boolean => view.registry.version > 0 && view.registry.revision !== caller.registryRevision
  const hasNewMembers = (caller: CallerState): boolean => members.revision() !== caller.membersRevision
  const hasNewLimits = (caller: CallerState): boolean => host.limitedServers.revision() !== caller.limitsRevision
  const hasNewLeaving = (caller: CallerState): boolean => host.noticedServers.leavingReports.revision() !== caller.leavingRevision
  const hasNewDepartures = (caller: CallerState): boolean => view.registry.history.learntRevision !== caller.departuresRevision && view.describeDepartures() !== undefined
  const hasNewCrashes = (caller: CallerState): boolean => host.crashes.revision() !== caller.crashesRevision
  const hasNews = (caller: CallerState): boolean => hasNewConfiguration(caller) || hasNewServers(caller) || hasNewMembers(caller)
  const hasChanges = (caller: CallerState): boolean => hasNews(caller) || hasNewLimits(caller) || hasNewLeaving(caller) || hasNewDepartures(caller) || hasNewCrashes(caller)

  const createReply = (caller: CallerState): SyncReply => {
    const failingSince = options.failingSince()
    const departures = hasNewDepartures(caller) ? view.describeDepartures() : undefined
    const failingServers = host.failureReports.listFailing()
    return {
      boot: options.boot,
      ageMilliseconds: Number.isFinite(options.confirmedAt()) ? host.now() - options.confirmedAt() : -1,
      failingMilliseconds: failingSince === undefined ? 0 : host.now() - failingSince,
      registryRevision: view.registry.revision,
      membersRevision: members.revision(),
      limitsRevision: host.limitedServers.revision(),
      leavingRevision: host.noticedServers.leavingReports.revision(),
      crashesRevision: host.crashes.revision(),
      departuresRevision: view.registry.history.learntRevision,
      ...(departures === undefined ? {} : { departures }),
      ...(hasNewCrashes(caller) ? { crashSuspects: host.crashes.describeSince(caller.crashesRevision) } : {}),
      ...(hasNewLimits(caller) ? { limits: host.limitedServers.describeAll() } : {}),
      ...(hasNewLeaving(caller) ? { leavingServers: host.noticedServers.leavingReports.listSince(caller.leavingRevision) } : {}),
      ...(failingServers.length === 0 ? {} : { failingServers }),
      ...(hasNews(caller) ? { news: encodeUpdate(caller) } : {})
    }
  }

  const answerSync = (request: SyncRequest, response: ServerResponse): void => {
    if (!isSyncRequest(request)) throw new Error('message does not describe a request for changes')
    members.recordCall(request.member)
    options.onCall(request.member, request.follows)
    host.failureReports.addReport(request.member.name, (request.sendReport ?? []).filter(isSendReport))
    host.limitedServers.applyReports(request.limits, request.member.name)
    host.noticedServers.applyLeaving(request.leavingServers, request.member.name)
    if (request.crashSuspects !== undefined) storeSuspects(request)
    const caller = readCallerState(request)
    const reply = (): void => {
      clearTimeout(timer)
      pendingCalls.delete(replyIfChanged)
      sendJson(response, createReply(caller))
    }
    const replyIfChanged = (force = false): void => { if (force || hasChanges(caller)) reply() }
    const isFailing = options.failingSince() !== undefined
    const timer = setTimeout(reply, isFailing ? Math.min(request.waitMilliseconds, failingLongPollMilliseconds) : request.waitMilliseconds)
    response.on('close', () => {
      clearTimeout(timer)
      pendingCalls.delete(replyIfChanged)
      if (response.writableFinished) return
      members.remove(request.member.name)
      scheduleAnswers()
    })
    pendingCalls.add(replyIfChanged)
    // Changes of the member list are batched.
    if (hasNewConfiguration(caller) || hasNewServers(caller) || hasNewLimits(caller) || hasNewLeaving(caller) || hasNewDepartures(caller) || hasNewCrashes(caller) || caller.membersRevision === 0) reply()
    else scheduleAnswers()
  }

  /** Stores suspects for a host that can't reach the store. */
  const storeSuspects = ({ crashSuspects, member }: SyncRequest): void => {
    host.crashRows.share(host.crashes.applySuspects(crashSuspects, member.name))
  }

  const answerIntroduction = ({ member, wantsDepartures }: IntroduceRequest, response: ServerResponse): void => {
    const { own, others } = listCandidates(member)
    recordIntroduction(options.introductions, member.dataCentre, member, host.now())
    if (own) options.onCall(member, false)
    const departures = wantsDepartures === true ? view.describeDepartures() : undefined
    const reply: IntroduceReply = { hosts: others, ...(departures === undefined ? {} : { departures }) }
    sendJson(response, reply)
  }

  const answerPermitRequest = (request: PermitRequest, response: ServerResponse): void => {
    if (!isPermitRequest(request)) throw new Error('message does not describe a request for a permit')
    sendJson(response, options.answerPermit(request))
  }

  const answerOfferRequest = (request: ForwardingOfferRequest, response: ServerResponse): void => {
    if (!isForwardingOfferRequest(request)) throw new Error('message does not describe a request that is to be forwarded')
    sendJson(response, options.forwardedRequests.offer(request))
  }

  const answerPeerListRequest = (_request: PeerListRequest, response: ServerResponse): void => {
    const connected = members.list().filter(({ ready, isCutOff }) => ready && isCutOff !== true).map(toPeerHost)
    const introduced = host.settings.dataCentres.filter(name => name !== host.settings.dataCentre)
      .flatMap(dataCentre => listIntroduced(options.introductions, dataCentre, maximumIntroducedHostsOfOthers, host.now()).map(known => toPeerHost({ ...known, dataCentre })))
    const reply: PeerListReply = { hosts: [...sample(host.random, connected, maximumListedHosts), ...introduced] }
    sendJson(response, reply)
  }

  const listCandidates = (caller: Member): { own: boolean, others: IntroduceReply['hosts'] } => {
    const own = caller.dataCentre === host.settings.dataCentre
    const introduced = listIntroduced(options.introductions, caller.dataCentre, maximumIntroducedHosts, host.now())
    const candidates = own ? [...members.list(), ...introduced] : introduced
    const others = [...new Map(candidates.filter(({ name }) => name !== caller.name).map(other => [other.name, other])).values()]
    return { own, others: listFirstHosts(others, maximumIntroducedHosts) }
  }

  const answerChanged = (): void => [...pendingCalls].forEach(reply => reply())

  const scheduleAnswers = (): void => {
    batchTimer ??= setTimeout(() => {
      batchTimer = undefined
      answerChanged()
    }, memberBatchMilliseconds)
  }

  const answerAll = (): void => [...pendingCalls].forEach(reply => reply(true))

  const handlers: Record<string, (message: never, response: ServerResponse) => void> = {
    [syncPath]: answerSync,
    [introducePath]: answerIntroduction,
    [permitPath]: answerPermitRequest,
    [forwardingOfferPath]: answerOfferRequest,
    [peerListPath]: answerPeerListRequest
  }
  const server = createServer({ maxHeaderSize: maximumHeaderBytes + forwardedHeadBytes }, (request, response) => {
    response.on('error', () => {})
    if (options.forwardedRequests.handle(request, response)) return
    const handle = request.method === 'POST' ? handlers[request.url ?? ''] : undefined
    if (handle === undefined) {
      response.writeHead(404).end()
      return
    }
    readJson(request).then(message => {
      if (!isCallMessage(message)) throw new Error('message does not name its member')
      handle(message as never, response)
    }).catch((error: unknown) => {
      host.logger.warn('peer call rejected', { path: request.url, reason: String(error) })
      if (!response.headersSent) response.writeHead(400).end()
    })
  })
  server.keepAliveTimeout = 10_000
  guardServer({ server, maximumHeadBytes: maximumHeadBytes + forwardedHeadBytes, onRejected: ({ reason }) => host.logger.warn('peer call rejected', { reason }) })
  return { server, answerChanged, answerAll }
}

function toPeerHost ({ name, dataCentre, peerAddress }: Pick<Member, 'name' | 'dataCentre' | 'peerAddress'>): PeerHost {
  return { name, dataCentre, peerAddress, isCutOff: false }
}

function sendJson (response: ServerResponse, value: unknown): void {
  const body = JSON.stringify(value)
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  response.end(body)
}

async function readJson (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request) {
    bytes += chunk.length
    if (bytes > maximumRequestBytes) throw new Error(`request exceeds ${maximumRequestBytes} bytes`)
    chunks.push(chunk)
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'))
}
