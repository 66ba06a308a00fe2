// Serves the service Peer over HTTP/2 without encryption. Keys are checked before a body is read. Every
// error of a session or a stream is logged and ends that session or stream only.
import { createServer, constants, type Http2ServerRequest, type Http2ServerResponse, type ServerHttp2Session } from 'node:http2'
import type { AddressInfo, Socket } from 'node:net'
import { Code, ConnectError } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { formatCodedError, type Result } from '@siskinbeam/result-codes/codedError'
import { Peer } from '@siskinbeam/protocol/generated/siskinbeam/peer/v1/peer_pb'
import { packPeerMessage, unpackPeerMessage, type PeerMessage } from '@siskinbeam/protocol/peerMessage'
import { packPeerStatus, type PeerStatus } from '@siskinbeam/protocol/peerStatus'
import { createAuthorization } from './authorizeCall.js'
import * as limits from './peerLimits.js'

/** What the host answers. A failed result is sent to the caller with its code and message. */
export interface PeerHandlers {
  exchange: (message: PeerMessage) => PeerMessage
  fetchBundle: (version: number) => Promise<Result<FetchedBundle>>
  /** JSON text. */
  dump: () => string
  status: () => PeerStatus
}

/** A signed bundle as bytes. */
export interface FetchedBundle {
  version: number
  bundle: Uint8Array
}

export interface ServePeersOptions {
  /** `ip:port`; port 0 picks a free one. */
  address: string
  peerKey: string
  operatorKey: string
  handlers: PeerHandlers
  logger: Logger
}

/** A running server of peers. */
export interface PeerServer {
  address: string
  sessions: () => number
  /** Lets calls in progress finish for at most the time given, then closes every session. */
  close: (graceMilliseconds: number) => Promise<void>
}

const refusal = JSON.stringify({ code: 'unauthenticated', message: 'the call has no valid key for this method' })

/** Starts the server. Rejects only if the address cannot be bound. */
export async function servePeers (options: ServePeersOptions): Promise<PeerServer> {
  const { logger } = options
  const sessions = new Set<ServerHttp2Session>()
  const sockets = new Set<Socket>()
  const server = createServer({ maxSessionInvalidFrames: 10, maxSessionMemory: 4, settings: { maxConcurrentStreams: limits.maximumStreamsPerSession, maxHeaderListSize: 4_096, enablePush: false } }, createListener(options))

  server.on('connection', (socket: Socket) => {
    socket.on('error', error => { logger.debug('peer connection failed', { reason: error.message }) })
    socket.once('close', () => { sockets.delete(socket) })
    sockets.add(socket)
    if (sockets.size > limits.maximumServedSessions) {
      logger.warn('peer connection refused', { connections: sockets.size })
      socket.destroy()
    }
  })
  server.on('session', session => {
    sessions.add(session)
    session.once('close', () => { sessions.delete(session) })
    // A connection that never makes a call is closed soon; destroying it also ends one without a preface.
    session.setTimeout(limits.servedCallMilliseconds, () => { session.destroy() })
    session.once('stream', () => { session.setTimeout(limits.servedSessionIdleMilliseconds) })
  })
  server.on('sessionError', error => { logger.debug('peer session failed', { reason: error.message }) })
  server.on('error', error => { logger.error('peer server failed', { reason: error.message }) })
  server.on('stream', stream => {
    stream.on('error', error => { logger.debug('peer stream failed', { reason: error.message }) })
    // Not the stream's own timeout, which a caller can put off by sending a byte now and then.
    const timeout = setTimeout(() => { stream.close(constants.NGHTTP2_CANCEL) }, limits.servedCallMilliseconds)
    stream.once('close', () => { clearTimeout(timeout) })
  })

  await new Promise<void>((resolve, reject) => {
    const [host, port] = options.address.split(':')
    server.once('error', reject)
    server.listen(Number(port), host, () => {
      server.off('error', reject)
      resolve()
    })
  })
  const bound = server.address() as AddressInfo

  return {
    address: `${bound.address}:${bound.port}`,
    sessions: () => sessions.size,
    close: async graceMilliseconds => {
      const force = setTimeout(() => { sockets.forEach(socket => { socket.destroy() }) }, graceMilliseconds)
      // `once` would reject when a client breaks its session off, which is no failure here.
      const closed = [server, ...sessions].map(closing => new Promise<void>(resolve => { closing.once('close', () => { resolve() }) }))
      server.close()
      sessions.forEach(session => { session.close() })
      await Promise.all(closed)
      clearTimeout(force)
    }
  }
}

function createListener (options: ServePeersOptions): (request: Http2ServerRequest, response: Http2ServerResponse) => void {
  const { handlers, logger } = options
  const isAuthorized = createAuthorization(options)
  const answer = connectNodeAdapter({
    grpc: false,
    grpcWeb: false,
    acceptCompression: [],
    readMaxBytes: limits.maximumRequestBytes,
    writeMaxBytes: limits.maximumAnswerBytes,
    maxTimeoutMs: limits.servedCallMilliseconds,
    routes: router => router.service(Peer, {
      exchange: wire => packPeerMessage(handlers.exchange(takeValue(unpackPeerMessage(wire), Code.InvalidArgument))),
      fetchBundle: async ({ version }) => {
        const fetched = takeValue(await handlers.fetchBundle(Number(version)), Code.NotFound)
        return { version: BigInt(fetched.version), bundle: fetched.bundle }
      },
      dump: () => ({ state: Buffer.from(handlers.dump()) }),
      status: () => packPeerStatus(handlers.status())
    })
  })
  return (request, response) => {
    // The date would cost 30 bytes of every answer, and nobody reads it.
    response.sendDate = false
    if (isAuthorized(request.url, request.headers.authorization)) {
      answer(request, response)
      return
    }
    logger.warn('peer call refused', { path: request.url.slice(0, 80), remote: request.socket.remoteAddress })
    response.writeHead(401, { 'content-type': 'application/json' })
    // The rest of the body of a refused call is not read.
    response.end(refusal, () => { request.stream.close(constants.NGHTTP2_NO_ERROR) })
  }
}

function takeValue<Value> (result: Result<Value>, code: Code): Value {
  if (result.ok) return result.value
  throw new ConnectError(formatCodedError(result.error), code)
}
