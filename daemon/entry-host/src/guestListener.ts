// The listener for guests: HTTP/1.1 by Node's http, whose parser refuses ambiguous framing. What is
// refused before a request exists is accounted for on the raw connection.
import { randomUUID } from 'node:crypto'
import { createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { describeResultCode } from '@siskinbeam/result-codes/describeResultCode'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { formatAccountHeader } from './requestPath/accountFor.js'

const longestHeadersBytes = 16_384
const headersMilliseconds = 10_000
const idleGuestMilliseconds = 65_000

export interface GuestListenerOptions {
  onRequest: (request: IncomingMessage, response: ServerResponse) => void
  onRefused: (code: ResultCode, reason: string) => void
}

const codesByParserError: Record<string, ResultCode> = {
  HPE_HEADER_OVERFLOW: ResultCode.HeadersTooLarge,
  HPE_UNEXPECTED_CONTENT_LENGTH: ResultCode.AmbiguousFraming,
  HPE_INVALID_CONTENT_LENGTH: ResultCode.AmbiguousFraming,
  HPE_INVALID_TRANSFER_ENCODING: ResultCode.AmbiguousFraming
}

/** Creates the listener; the caller binds it. */
export function createGuestListener ({ onRequest, onRefused }: GuestListenerOptions): Server {
  const server = createServer({
    maxHeaderSize: longestHeadersBytes,
    headersTimeout: headersMilliseconds,
    requestTimeout: 0,
    keepAliveTimeout: idleGuestMilliseconds,
    noDelay: true,
    // Node's own refusal has no account.
    requireHostHeader: false,
    insecureHTTPParser: false
  })
  const openResponses = new WeakMap<Duplex, Set<ServerResponse>>()
  const serve = (request: IncomingMessage, response: ServerResponse): void => {
    const { socket } = request
    const responses = openResponses.get(socket) ?? new Set()
    if (!openResponses.has(socket)) {
      openResponses.set(socket, responses)
      socket.once('close', () => setImmediate(closeUnsent, responses))
    }
    responses.add(response)
    response.once('close', () => responses.delete(response))
    onRequest(request, response)
  }
  server.on('request', serve)
  server.on('checkExpectation', serve)
  const refuse = (socket: Duplex, code: ResultCode, reason: string): void => {
    onRefused(code, reason)
    // The guest would take a refusal for the answer to its request in progress.
    const isFree = (openResponses.get(socket)?.size ?? 0) === 0
    if (socket.writable && isFree) socket.end(formatRefusal(code, reason))
    else socket.destroy()
  }
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (error.code === 'ECONNRESET') return socket.destroy() as unknown as void
    refuse(socket, codesByParserError[error.code ?? ''] ?? ResultCode.MalformedRequest, error.code ?? error.message)
  })
  const refuseUpgrade = (_request: IncomingMessage, socket: Duplex): void => refuse(socket, ResultCode.UpgradeNotSupported, 'upgrade or CONNECT')
  server.on('upgrade', refuseUpgrade)
  server.on('connect', refuseUpgrade)
  return server
}

// Node emits no 'close' for the responses of pipelined requests that wait for an earlier one.
function closeUnsent (responses: Set<ServerResponse>): void {
  responses.forEach(response => {
    response.destroy()
    response.emit('close')
  })
}

function formatRefusal (code: ResultCode, reason: string): string {
  const requestId = randomUUID()
  const { status = 400 } = describeResultCode(code)
  const body = JSON.stringify({ code, name: ResultCode[code], outcome: Outcome.NotRun, requestId, message: reason })
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? 'Refused'}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `siskinbeam-request-id: ${requestId}`,
    `siskinbeam-account: ${formatAccountHeader(code, Outcome.NotRun, requestId)}`,
    'connection: close',
    '',
    body
  ].join('\r\n')
}
