// Applies the rule for heads to all connections of an HTTP server, passes their requests on one at a time, and answers invalid
// requests. Nothing of an invalid request, or of what follows it on its connection, is handled; requests that arrived before it get
// their responses first.
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { describeViolation } from './guardSocket.js'
import type { HeadFault } from './headGuard.js'
import { createRequestGate, type RequestGate } from './requestGate.js'

/** Why the bytes of a connection were rejected. */
export interface Rejection {
  reason: string
  /** What broke the rule, if the guard found it. */
  fault: HeadFault | undefined
  /** The error of Node's parser, if that found it. */
  parserError: string | undefined
}

export interface GuardServerOptions {
  server: Server
  maximumHeadBytes: number
  /** Formats the complete response to an invalid request. Without it, the connection is closed. */
  formatRejection?: (rejection: Rejection) => string
  /** Called if the head of a request was handled, but its body is invalid. Must end the response. By default, the connection is closed. */
  onInvalidBody?: (request: IncomingMessage, response: ServerResponse, rejection: Rejection) => void
  onRejected?: (rejection: Rejection) => void
  /**
   * Called when a guest has ended its sending side while a request is in progress or waits, with the latest request. The connection
   * then stays open until all its requests have their responses. By default, it is closed, and waiting requests are discarded.
   */
  onGuestEnded?: (request: IncomingMessage, response: ServerResponse) => void
}

export interface GuardedServer {
  countConnections: () => number
  /** Whether bytes of a request wait for the response to an earlier one on any connection. */
  hasWaitingRequests: () => boolean
  /** Closes the connections that have served a request and on which none is arriving, waiting or in progress, nor a response unsent. */
  closeIdleConnections: () => void
}

interface GuardedConnection {
  gate: RequestGate
  latest: { request: IncomingMessage, response: ServerResponse } | undefined
  isRejected: boolean
}

const expectationFailed = 417
const gates = new WeakMap<Duplex, RequestGate>()

/** Whether bytes of a further request wait on the connection. A response that closes the connection would leave it without an answer. */
export function hasWaitingRequest (socket: Duplex): boolean {
  return gates.get(socket)?.isHolding() ?? false
}

/** How long the latest request of the connection has waited for the response to an earlier one. */
export function readHeldMilliseconds (socket: Duplex): number {
  return gates.get(socket)?.heldMilliseconds() ?? 0
}

/** Whether the guest has ended its sending side. It may have closed the connection or wait for its answers. */
export function hasGuestEnded (socket: Duplex): boolean {
  return gates.get(socket)?.hasEnded() ?? false
}

/** Guards the server. Must be called before it accepts connections. */
export function guardServer ({ server, maximumHeadBytes, formatRejection, onInvalidBody, onRejected = () => {}, onGuestEnded }: GuardServerOptions): GuardedServer {
  const connections = new Map<Socket, GuardedConnection>()

  const end = (socket: Socket, rejection: Rejection): void => {
    if (socket.writable && formatRejection !== undefined) socket.end(formatRejection(rejection), 'latin1', () => socket.destroySoon())
    else socket.destroy()
  }
  const reject = (socket: Socket, rejection: Rejection): void => {
    const connection = connections.get(socket)
    if (connection === undefined || connection.isRejected) return
    connection.isRejected = true
    onRejected(rejection)
    const { latest } = connection
    if (latest === undefined || latest.response.writableFinished || latest.response.destroyed) end(socket, rejection)
    else if (latest.request.complete) latest.response.once('close', () => end(socket, rejection))
    else if (onInvalidBody === undefined) socket.destroy()
    else onInvalidBody(latest.request, latest.response, rejection)
  }

  const record = (request: IncomingMessage, response: ServerResponse): void => {
    const connection = connections.get(request.socket)
    if (connection === undefined) return
    connection.latest = { request, response }
    response.once('close', connection.gate.recordResponse)
  }
  server.prependListener('request', record)
  // Node's own response to an unknown expectation emits no event.
  if (server.listenerCount('checkExpectation') === 0) server.on('checkExpectation', (_request, response) => { response.writeHead(expectationFailed).end() })
  server.prependListener('checkExpectation', record)
  // Node would close a connection at its guest's end, whatever is in progress on it. The types don't have the property.
  ;(server as Server & { httpAllowHalfOpen: boolean }).httpAllowHalfOpen = onGuestEnded !== undefined
  server.on('connection', (socket: Socket) => {
    const gate = createRequestGate(socket, {
      maximumHeadBytes,
      onViolation: violation => reject(socket, { reason: describeViolation(violation), fault: violation.fault, parserError: undefined }),
      onEnd: () => {
        const latest = connections.get(socket)?.latest
        if (onGuestEnded === undefined) gate.discardHeld()
        else if (latest !== undefined) onGuestEnded(latest.request, latest.response)
      }
    })
    gates.set(socket, gate)
    connections.set(socket, { gate, latest: undefined, isRejected: false })
    socket.once('close', () => connections.delete(socket))
  })
  server.on('clientError', (error: NodeJS.ErrnoException, duplex) => {
    const socket = duplex as Socket
    if (error.code === 'ECONNRESET') socket.destroy()
    else reject(socket, { reason: error.code ?? error.message, fault: undefined, parserError: error.code })
  })
  return {
    countConnections: () => connections.size,
    hasWaitingRequests: () => [...connections.values()].some(({ gate }) => gate.isHolding()),
    // Node counts a connection as idle once its response has been ended, whether it has been sent or not.
    closeIdleConnections: () => connections.forEach(({ gate, isRejected }, socket) => { if (gate.isIdle() && !isRejected && socket.writableLength === 0) socket.destroySoon() })
  }
}
