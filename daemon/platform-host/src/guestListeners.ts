// Listeners for guest requests, address lookups and the platform's readiness checks.
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as NetServer } from 'node:net'
import { findRejectionCode } from '@siskinbeam/message-heads/findRejectionCode'
import { guardServer, hasGuestEnded, hasWaitingRequest, readHeldMilliseconds, type GuardedServer } from '@siskinbeam/message-heads/guardServer'
import { isAddressRequest, isReadinessRequest, readGuestMetadata, formatAddressList } from '@siskinbeam/platform-adapter/guestProtocol'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { formatRejection } from './formatRejection.js'
import type { ForwardedDetails } from './peerForwarding/forwardingHeaders.js'
import type { PlatformHost } from './platformHost.js'
import { awaitInitialView } from './requestPath/awaitInitialView.js'
import { bufferBody } from './requestPath/bufferBody.js'
import { forwardRequest } from './requestPath/forwardRequest.js'
import { findRoute } from './requestPath/findRoute.js'
import { composeFilters, type GuestExchange } from './requestPath/guestExchange.js'
import { limitHeaders } from './requestPath/limitHeaders.js'
import { guestEndedReason, refuse } from './requestPath/refuse.js'

export interface GuestListener {
  server: Server
  guarded: GuardedServer
  /** Stops accepting connections, and leaves the open ones alone. Calls back when none is left. */
  stopListening: (onClosed: () => void) => void
  /** Applies the timeouts of the active configuration. */
  applyLimits: () => void
}

/** Limit of the parser. That of the configuration is checked by a filter, and a higher one has no effect. */
export const maximumHeaderBytes = 65_536
/** Node's limit does not count separators and line ends. */
export const maximumHeadBytes = 2 * maximumHeaderBytes
/** Timeout of guests that do not state one. */
const defaultGuestTimeoutMilliseconds = 10_000
/** Connections are closed this much later than the configured timeout, so that guests can use them for its whole duration. */
const timeoutMarginMilliseconds = 1_000
const defaultIdleTimeoutMilliseconds = 15_000
const closeHeaders = { connection: 'close' }

/** Passes requests through the filters of the request path. */
export interface RequestHandler {
  /** Handles a request of a guest, or one that another host forwards. */
  handle: (request: IncomingMessage, response: ServerResponse, forwarded?: ForwardedDetails) => void
  inFlight: () => number
  findExchange: (response: ServerResponse) => GuestExchange | undefined
}

export function createRequestHandler (host: PlatformHost): RequestHandler {
  const serve = composeFilters([awaitInitialView, limitHeaders, findRoute, bufferBody, forwardRequest])
  let inFlight = 0
  const exchanges = new WeakMap<ServerResponse, GuestExchange>()
  const handle: RequestHandler['handle'] = (request, response, forwarded) => {
    inFlight += 1
    const exchange = createExchange(host, request, response, forwarded)
    exchanges.set(response, exchange)
    request.on('error', () => {})
    response.on('error', () => {})
    response.on('close', () => {
      inFlight -= 1
      logUnanswered(exchange)
      handleDisconnect(exchange)
    })
    if (exchange.guestEnded) refuse(exchange, { code: ResultCode.GuestEnded, reason: guestEndedReason })
    else serve(exchange)
  }
  return { handle, inFlight: () => inFlight, findExchange: response => exchanges.get(response) }
}

/** Creates the listener for guest requests. */
export function createGuestListener (host: PlatformHost, { handle, findExchange }: RequestHandler): GuestListener {
  const server = createServer({ maxHeaderSize: maximumHeaderBytes, requestTimeout: 0, keepAliveTimeout: defaultIdleTimeoutMilliseconds + timeoutMarginMilliseconds }, (request, response) => handle(request, response))
  server.on('connection', socket => socket.setNoDelay(true))
  const guarded = guardServer({
    server,
    maximumHeadBytes,
    formatRejection,
    onInvalidBody: (_request, response, rejection) => {
      const exchange = findExchange(response)
      response.shouldKeepAlive = false
      if (exchange !== undefined) refuse(exchange, { code: findRejectionCode(rejection), reason: rejection.reason })
    },
    onGuestEnded: (_request, response) => {
      const exchange = findExchange(response)
      if (exchange !== undefined) handleGuestEnd(exchange)
    },
    onRejected: ({ reason }) => {
      host.metrics.count('rejected_requests_total')
      host.logger.info('request rejected', { reason })
    }
  })
  return {
    server,
    guarded,
    // Closing the HTTP server would destroy connections whose responses have been ended but not sent.
    stopListening: onClosed => { NetServer.prototype.close.call(server, onClosed) },
    applyLimits: () => {
      const limits = host.routes()?.configuration.limits
      if (limits === undefined) return
      server.keepAliveTimeout = limits.idleTimeoutMilliseconds + timeoutMarginMilliseconds
      server.headersTimeout = limits.headerTimeoutMilliseconds + timeoutMarginMilliseconds
    }
  }
}

function createExchange (host: PlatformHost, request: IncomingMessage, response: ServerResponse, forwarded: ForwardedDetails | undefined): GuestExchange {
  const { requestId, waitMilliseconds = defaultGuestTimeoutMilliseconds } = readGuestMetadata(request.headers)
  const receivedAt = host.now() - readHeldMilliseconds(request.socket) - (forwarded?.elapsedMilliseconds ?? 0)
  return {
    host,
    request,
    response,
    requestId,
    path: (request.url ?? '').split('?', 1)[0] ?? '',
    receivedAt,
    guestTimeoutMilliseconds: waitMilliseconds,
    deadlineAt: receivedAt + waitMilliseconds,
    route: undefined,
    service: '',
    body: undefined,
    forwarded,
    sends: forwarded?.sends ?? 0,
    choiceLogFields: {},
    cancelSends: new Set(),
    deathCheck: Promise.resolve(),
    guestEnded: hasGuestEnded(request.socket),
    closesConnection: () => host.isShuttingDown() && !hasWaitingRequest(request.socket),
    finished: false
  }
}

/** Ends the exchange of a guest that disconnected. Idempotent requests are cancelled; others run to completion. */
function handleDisconnect (exchange: GuestExchange): void {
  if (exchange.finished) return
  exchange.finished = true
  exchange.host.metrics.count('guests_left_total')
  exchange.host.logger.info('guest left', { request: exchange.requestId, route: exchange.route?.name, sends: exchange.sends, milliseconds: Math.round(exchange.host.now() - exchange.receivedAt) })
  if (exchange.route?.idempotent !== false) exchange.cancelSends.forEach(cancel => cancel())
}

/**
 * Handles the end of a guest's sending side, which does not tell a guest that has left from one that waits. A request that no server
 * has got is refused as not run. An idempotent one is cancelled. Others run to completion anyway, and their responses are sent.
 */
function handleGuestEnd (exchange: GuestExchange): void {
  const { request, response, route } = exchange
  exchange.guestEnded = true
  if (response.writableEnded) return
  if (exchange.sends === 0) refuse(exchange, { code: ResultCode.GuestEnded, reason: guestEndedReason })
  else if (route?.idempotent !== false) request.socket.destroy()
}

/** Logs that a connection ended before the response to a request that had been sent to a server was sent completely, and who ended it. */
function logUnanswered ({ host, request, response, requestId, route, sends, receivedAt }: GuestExchange): void {
  if (response.writableFinished || sends === 0) return
  const { socket } = request
  const endedBy = hasGuestEnded(socket) || socket.errored !== null ? 'guest' : 'host'
  host.metrics.count(`unanswered_total{ended_by="${endedBy}"}`)
  host.logger.info('guest connection ended', { request: requestId, route: route?.name, endedBy, reason: socket.errored?.message, sends, milliseconds: Math.round(host.now() - receivedAt) })
}

export interface AddressListenerOptions {
  host: PlatformHost
  listAddresses: () => string[]
}

/** Creates the listener that returns the addresses of entry hosts to guests. */
export function createAddressListener ({ host, listAddresses }: AddressListenerOptions): Server {
  const server = createServer((request, response) => {
    if (!isAddressRequest(request.url ?? '')) {
      response.writeHead(404).end()
      return
    }
    const body = formatAddressList(listAddresses(), host.settings.addressTimeToLiveSeconds)
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...(host.isShuttingDown() && !hasWaitingRequest(request.socket) ? closeHeaders : {}) })
    response.end(body)
  })
  guardServer({ server, maximumHeadBytes, formatRejection })
  return server
}

/** Creates the listener for the platform's readiness checks. */
export function createReadinessListener (host: PlatformHost, isReady: () => boolean): Server {
  const server = createServer((request, response) => {
    const status = isReadinessRequest(request.url ?? '') ? (isReady() ? 200 : 503) : 404
    response.writeHead(status, { 'content-length': 0, ...(host.isShuttingDown() && !hasWaitingRequest(request.socket) ? closeHeaders : {}) })
    response.end()
  })
  guardServer({ server, maximumHeadBytes, formatRejection })
  return server
}
