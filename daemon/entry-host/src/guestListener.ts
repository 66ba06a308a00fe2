// The HTTP/1.1 listener for guests. Node's parser rejects ambiguous framing. If it rejects a request before a request
// object exists, the error response is written to the raw connection.
import { randomUUID } from 'node:crypto'
import { createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { findRejectionCode } from '@siskinbeam/message-heads/findRejectionCode'
import { guardServer, type GuardedServer } from '@siskinbeam/message-heads/guardServer'
import { describeResultCode } from '@siskinbeam/result-codes/describeResultCode'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { formatAccountHeader } from './requestPath/sendErrorResponse.js'

const maximumHeaderBytes = 16_384
/** Node's limit does not count separators and line ends. */
const maximumHeadBytes = 2 * maximumHeaderBytes
const headersTimeoutMilliseconds = 10_000
const keepAliveTimeoutMilliseconds = 65_000
const upgradeReason = 'upgrade or CONNECT'

export interface GuestListenerOptions {
  onRequest: (request: IncomingMessage, response: ServerResponse) => void
  onRefused: (code: ResultCode, reason: string) => void
}

export interface GuestListener {
  server: Server
  guarded: GuardedServer
}

/** Creates the listener. The caller binds it. */
export function createGuestListener ({ onRequest, onRefused }: GuestListenerOptions): GuestListener {
  const server = createServer({
    maxHeaderSize: maximumHeaderBytes,
    headersTimeout: headersTimeoutMilliseconds,
    requestTimeout: 0,
    keepAliveTimeout: keepAliveTimeoutMilliseconds,
    noDelay: true,
    // Node's own error response has no siskinbeam-account header, so the request path checks the host header.
    requireHostHeader: false,
    insecureHTTPParser: false
  })
  server.on('request', onRequest)
  server.on('checkExpectation', onRequest)
  const guarded = guardServer({
    server,
    maximumHeadBytes,
    onRejected: rejection => onRefused(findRejectionCode(rejection), rejection.reason),
    formatRejection: rejection => formatRefusal(findRejectionCode(rejection), rejection.reason)
  })
  const refuseUpgrade = (_request: IncomingMessage, socket: Duplex): void => {
    onRefused(ResultCode.UpgradeNotSupported, upgradeReason)
    socket.end(formatRefusal(ResultCode.UpgradeNotSupported, upgradeReason), () => socket.destroy())
  }
  server.on('upgrade', refuseUpgrade)
  server.on('connect', refuseUpgrade)
  return { server, guarded }
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
