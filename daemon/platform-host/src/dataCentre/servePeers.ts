// Answers the other entry hosts. A call that brings nothing new is held until something changes, so that
// followers hear of changes at once and a host that ends is noticed by its broken connections.
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { readUpdate } from '@siskinbeam/server-registry/serverRegistry'
import type { PlatformHost } from '../platformHost.js'
import type { Members } from './keepMembers.js'
import { syncPath, type SyncReply, type SyncRequest } from './peerMessages.js'
import type { View } from './view.js'

export interface ServePeersOptions {
  host: PlatformHost
  boot: string
  view: View
  members: Members
  confirmedAt: () => number
  failingSince: () => number | undefined
  /** Called when a host calls. */
  onCaller: (request: SyncRequest) => void
}

export interface PeerService {
  server: Server
  /** Answers the calls that are held and have news. */
  flush: () => void
  /** Answers all calls that are held. */
  release: () => void
}

const longestRequestBytes = 65_536
/** Followers should soon know if the calls of this host to the store go on failing. */
const failingHoldMilliseconds = 130

/** Creates the listener; the caller binds it. */
export function servePeers (options: ServePeersOptions): PeerService {
  const { host, view, members } = options
  const held = new Set<(force?: boolean) => void>()
  let digest = ''

  const describe = (request: SyncRequest): SyncReply => {
    const configuration = view.routes()?.configuration
    const isKnown = request.registrySource === options.boot
    const servers = readUpdate(view.registry, isKnown ? request.registryRevision : 0)
    const failingSince = options.failingSince()
    return {
      boot: options.boot,
      ageMilliseconds: Number.isFinite(options.confirmedAt()) ? host.now() - options.confirmedAt() : -1,
      failingMilliseconds: failingSince === undefined ? 0 : host.now() - failingSince,
      ...(configuration === undefined || configuration.version <= request.configurationVersion ? {} : { configuration }),
      ...(servers.version === 0 || (isKnown && servers.revision === request.registryRevision) ? {} : { servers }),
      ...(members.digest() === request.membersDigest ? {} : { members: members.list() })
    }
  }

  const answer = (request: SyncRequest, response: ServerResponse): void => {
    const hasNews = (): boolean => {
      const { configuration, servers, members: changed } = describe(request)
      return configuration !== undefined || servers !== undefined || changed !== undefined
    }
    const reply = (): void => {
      clearTimeout(timer)
      held.delete(replyIfNew)
      const body = JSON.stringify(describe(request))
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
      response.end(body)
    }
    const replyIfNew = (force = false): void => { if (force || hasNews()) reply() }
    const isFailing = options.failingSince() !== undefined
    const timer = setTimeout(reply, isFailing ? Math.min(request.waitMilliseconds, failingHoldMilliseconds) : request.waitMilliseconds)
    response.on('close', () => {
      clearTimeout(timer)
      held.delete(replyIfNew)
      if (!response.writableFinished) {
        members.drop(request.member.name)
        flush()
      }
    })
    held.add(replyIfNew)
    replyIfNew()
  }

  const flush = (): void => {
    digest = members.digest()
    ;[...held].forEach(reply => reply())
  }

  const release = (): void => [...held].forEach(reply => reply(true))

  const server = createServer((request, response) => {
    response.on('error', () => {})
    if (request.method !== 'POST' || request.url !== syncPath) {
      response.writeHead(404).end()
      return
    }
    readJson(request).then(message => {
      members.hear(message.member)
      options.onCaller(message)
      if (members.digest() !== digest) flush()
      answer(message, response)
    }, () => { response.writeHead(400).end() })
  })
  server.keepAliveTimeout = 10_000
  return { server, flush, release }
}

async function readJson (request: IncomingMessage): Promise<SyncRequest> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request) {
    bytes += chunk.length
    if (bytes > longestRequestBytes) throw new Error('the request is too large')
    chunks.push(chunk)
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as SyncRequest
}
