// Answers the other entry hosts. A call that brings nothing new is held until something changes, so that
// followers hear of changes at once and a host that ends is noticed by its broken connections.
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { digestServers, readUpdate } from '@siskinbeam/server-registry/serverRegistry'
import { listIntroduced, noteIntroduction, type IntroductionState } from '@siskinbeam/watch-duty/introductions'
import { listFirstHosts } from '@siskinbeam/watch-duty/watchDuty'
import type { PlatformHost } from '../platformHost.js'
import type { Members } from './keepMembers.js'
import { introducePath, packNews, syncPath, type IntroduceReply, type IntroduceRequest, type Member, type SyncReply, type SyncRequest } from './peerMessages.js'
import type { View } from './view.js'

export interface ServePeersOptions {
  host: PlatformHost
  boot: string
  view: View
  members: Members
  introductions: IntroductionState
  confirmedAt: () => number
  failingSince: () => number | undefined
  /** Called when a host calls. */
  onCaller: (member: Member, follows: boolean) => void
}

export interface PeerService {
  server: Server
  /** Answers the calls that are held and have news. */
  flush: () => void
  /** Answers all calls that are held. */
  release: () => void
}

/** What a caller knows, in versions and revisions of this host. Zero stands for nothing. */
interface CallerKnowledge {
  configurationVersion: number
  registryRevision: number
  membersRevision: number
}

const longestRequestBytes = 65_536
/** Followers should soon know if the calls of this host to the store go on failing. */
const failingHoldMilliseconds = 130
/** Collects changes of the list of hosts, so that hosts which start together are told in a few replies. */
const collectMembersMilliseconds = 100
/** A host that starts tries a few hosts before it watches by itself. */
const introducedHosts = 8
/** Followers know one of a few states, so the same news is packed once for all of them. */
const keptPacks = 8

/** Creates the listener; the caller binds it. */
export function servePeers (options: ServePeersOptions): PeerService {
  const { host, view, members } = options
  const held = new Set<(force?: boolean) => void>()
  const packs = new Map<string, string>()
  let collecting: NodeJS.Timeout | undefined

  const readKnowledge = (request: SyncRequest): CallerKnowledge => {
    const isKnown = request.sourceBoot === options.boot
    const isSameList = request.membersDigest === members.digest()
    const membersRevision = isKnown ? request.membersRevision : 0
    return {
      configurationVersion: request.configurationVersion,
      registryRevision: isKnown ? request.registryRevision : request.registryDigest === digestServers(view.registry) ? view.registry.revision : 0,
      // A list of this revision that differs was not taken over as it was sent.
      membersRevision: isSameList ? members.revision() : membersRevision === members.revision() ? 0 : membersRevision
    }
  }

  const pack = (known: CallerKnowledge): string => {
    const configuration = view.routes()?.configuration
    const key = [configuration?.version, known.configurationVersion, view.registry.revision, known.registryRevision, members.revision(), known.membersRevision].join(':')
    const packed = packs.get(key) ?? packNews({
      ...(hasNewConfiguration(known) ? { configuration } : {}),
      ...(hasNewServers(known) ? { servers: readUpdate(view.registry, known.registryRevision) } : {}),
      ...(hasNewMembers(known) ? { members: members.readUpdate(known.membersRevision) } : {})
    })
    packs.set(key, packed)
    ;[...packs.keys()].slice(0, -keptPacks).forEach(old => packs.delete(old))
    return packed
  }
  const hasNewConfiguration = (known: CallerKnowledge): boolean => (view.routes()?.configuration.version ?? 0) > known.configurationVersion
  const hasNewServers = (known: CallerKnowledge): boolean => view.registry.version > 0 && view.registry.revision !== known.registryRevision
  const hasNewMembers = (known: CallerKnowledge): boolean => members.revision() !== known.membersRevision
  const hasNews = (known: CallerKnowledge): boolean => hasNewConfiguration(known) || hasNewServers(known) || hasNewMembers(known)

  const describe = (known: CallerKnowledge): SyncReply => {
    const failingSince = options.failingSince()
    return {
      boot: options.boot,
      ageMilliseconds: Number.isFinite(options.confirmedAt()) ? host.now() - options.confirmedAt() : -1,
      failingMilliseconds: failingSince === undefined ? 0 : host.now() - failingSince,
      registryRevision: view.registry.revision,
      membersRevision: members.revision(),
      ...(hasNews(known) ? { news: pack(known) } : {})
    }
  }

  const answerSync = (request: SyncRequest, response: ServerResponse): void => {
    members.hear(request.member)
    options.onCaller(request.member, request.follows)
    const known = readKnowledge(request)
    const reply = (): void => {
      clearTimeout(timer)
      held.delete(replyIfNew)
      sendJson(response, describe(known))
    }
    const replyIfNew = (force = false): void => { if (force || hasNews(known)) reply() }
    const isFailing = options.failingSince() !== undefined
    const timer = setTimeout(reply, isFailing ? Math.min(request.waitMilliseconds, failingHoldMilliseconds) : request.waitMilliseconds)
    response.on('close', () => {
      clearTimeout(timer)
      held.delete(replyIfNew)
      if (response.writableFinished) return
      members.drop(request.member.name)
      flushSoon()
    })
    held.add(replyIfNew)
    // Changes of the list of hosts wait a little for others.
    if (hasNewConfiguration(known) || hasNewServers(known) || known.membersRevision === 0) reply()
    else flushSoon()
  }

  const answerIntroduction = ({ member }: IntroduceRequest, response: ServerResponse): void => {
    const { own, others } = listCandidates(member)
    noteIntroduction(options.introductions, member.dataCentre, member, host.now())
    if (own) options.onCaller(member, false)
    const reply: IntroduceReply = { hosts: others }
    sendJson(response, reply)
  }

  const listCandidates = (caller: Member): { own: boolean, others: IntroduceReply['hosts'] } => {
    const own = caller.dataCentre === host.settings.dataCentre
    const introduced = listIntroduced(options.introductions, caller.dataCentre, introducedHosts, host.now())
    const known = own ? [...members.list(), ...introduced] : introduced
    const others = [...new Map(known.filter(({ name }) => name !== caller.name).map(other => [other.name, other])).values()]
    return { own, others: listFirstHosts(others, introducedHosts) }
  }

  const flush = (): void => [...held].forEach(reply => reply())

  const flushSoon = (): void => {
    collecting ??= setTimeout(() => {
      collecting = undefined
      flush()
    }, collectMembersMilliseconds)
  }

  const release = (): void => [...held].forEach(reply => reply(true))

  const handlers: Record<string, (message: never, response: ServerResponse) => void> = {
    [syncPath]: answerSync,
    [introducePath]: answerIntroduction
  }
  const server = createServer((request, response) => {
    response.on('error', () => {})
    const handle = request.method === 'POST' ? handlers[request.url ?? ''] : undefined
    if (handle === undefined) {
      response.writeHead(404).end()
      return
    }
    readJson(request).then(message => handle(message as never, response), () => { response.writeHead(400).end() })
  })
  server.keepAliveTimeout = 10_000
  return { server, flush, release }
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
    if (bytes > longestRequestBytes) throw new Error('the request is too large')
    chunks.push(chunk)
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'))
}
