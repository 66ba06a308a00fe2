// Server of the service Peer over unencrypted HTTP/2. Calls are authorized before their body is read. Errors of a
// session or a stream are logged and end only that session or stream.
import { createServer, constants, type Http2ServerRequest, type Http2ServerResponse, type ServerHttp2Session } from 'node:http2'
import type { Server, Socket } from 'node:net'
import { Code, ConnectError } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { formatCodedError, type Result } from '@siskinbeam/result-codes/codedError'
import { Peer } from '@siskinbeam/protocol/generated/siskinbeam/peer/v1/peer_pb'
import { packPeerMessage, unpackPeerMessage, type PeerMessage } from '@siskinbeam/protocol/peerMessage'
import { packPeerStatus, type PeerStatus } from '@siskinbeam/protocol/peerStatus'
import { createAuthorizer } from './authorizeCall.js'
import * as limits from './peerLimits.js'

/** Handlers of the calls. A failed result is sent to the caller with its code and message. */
export interface PeerHandlers {
  exchange: (message: PeerMessage) => PeerMessage
  fetchBundle: (version: number) => Promise<Result<FetchedBundle>>
  /** Returns JSON text. */
  dump: () => string
  status: () => PeerStatus
}

/** A serialized signed bundle document. */
export interface FetchedBundle {
  version: number
  bundle: Uint8Array
}

export interface ServePeersOptions {
  /** Binds the server and resolves with its address. */
  bind: (server: Server) => Promise<string>
  peerKey: string
  operatorKey: string
  handlers: PeerHandlers
  logger: Logger
}

/** A running server. */
export interface PeerServer {
  address: string
  sessions: () => number
  /** Waits for calls in progress for at most the grace period, then closes all connections. */
  close: (graceMilliseconds: number) => Promise<void>
}

const unauthenticatedBody = JSON.stringify({ code: 'unauthenticated', message: 'the call has no valid key for this method' })

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
    if (sockets.size > limits.maximumServerSessions) {
      logger.warn('peer connection refused', { connections: sockets.size })
      socket.destroy()
    }
  })
  server.on('session', session => {
    sessions.add(session)
    session.once('close', () => { sessions.delete(session) })
    // Closes connections that make no call within this time, including those that send no HTTP/2 preface.
    session.setTimeout(limits.serverCallTimeoutMilliseconds, () => { session.destroy() })
    session.once('stream', () => { session.setTimeout(limits.serverSessionIdleMilliseconds) })
  })
  server.on('sessionError', error => { logger.debug('peer session failed', { reason: error.message }) })
  server.on('stream', stream => {
    stream.on('error', error => { logger.debug('peer stream failed', { reason: error.message }) })
    // The stream's own timeout is an idle timeout, which a caller could extend indefinitely by sending single bytes.
    const callTimer = setTimeout(() => { stream.close(constants.NGHTTP2_CANCEL) }, limits.serverCallTimeoutMilliseconds)
    stream.once('close', () => { clearTimeout(callTimer) })
  })

  const address = await options.bind(server)

  return {
    address,
    sessions: () => sessions.size,
    close: async graceMilliseconds => {
      const forceCloseTimer = setTimeout(() => { sockets.forEach(socket => { socket.destroy() }) }, graceMilliseconds)
      // `events.once` would reject when a client aborts its session, which is not an error here.
      const closed = [server, ...sessions].map(closing => new Promise<void>(resolve => { closing.once('close', () => { resolve() }) }))
      server.close()
      sessions.forEach(session => { session.close() })
      await Promise.all(closed)
      clearTimeout(forceCloseTimer)
    }
  }
}

function createListener (options: ServePeersOptions): (request: Http2ServerRequest, response: Http2ServerResponse) => void {
  const { handlers, logger } = options
  const isAuthorized = createAuthorizer(options)
  const handleCall = connectNodeAdapter({
    grpc: false,
    grpcWeb: false,
    acceptCompression: [],
    readMaxBytes: limits.maximumRequestBytes,
    writeMaxBytes: limits.maximumResponseBytes,
    maxTimeoutMs: limits.serverCallTimeoutMilliseconds,
    routes: router => router.service(Peer, {
      exchange: wire => packPeerMessage(handlers.exchange(unwrapOrThrow(unpackPeerMessage(wire), Code.InvalidArgument))),
      fetchBundle: async ({ version }) => {
        const fetched = unwrapOrThrow(await handlers.fetchBundle(Number(version)), Code.NotFound)
        return { version: BigInt(fetched.version), bundle: fetched.bundle }
      },
      dump: () => ({ state: Buffer.from(handlers.dump()) }),
      status: () => packPeerStatus(handlers.status())
    })
  })
  return (request, response) => {
    // The date header would add 30 bytes to every response and is not used.
    response.sendDate = false
    if (isAuthorized(request.url, request.headers.authorization)) {
      handleCall(request, response)
      return
    }
    logger.warn('peer call refused', { path: request.url.slice(0, 80), remote: request.socket.remoteAddress })
    response.writeHead(401, { 'content-type': 'application/json' })
    // Closes the stream without reading the rest of the body.
    response.end(unauthenticatedBody, () => { request.stream.close(constants.NGHTTP2_NO_ERROR) })
  }
}

function unwrapOrThrow<Value> (result: Result<Value>, code: Code): Value {
  if (result.ok) return result.value
  throw new ConnectError(formatCodedError(result.error), code)
}
