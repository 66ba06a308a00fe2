// One attempt to send a request to one server. The outcome states whether the server may have started to process the
// request, which decides whether a non-idempotent request may be sent again.
import { request as sendRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { describeViolation, expectResponse } from '@siskinbeam/message-heads/guardSocket'
import { discardBody } from '@siskinbeam/stream-end/discardBody'
import { watchStreamEnd } from '@siskinbeam/stream-end/watchStreamEnd'
import type { ServerRuntime } from '../servers/serviceRuntime.js'
import type { Exchange } from './exchange.js'

/** How an attempt ended. */
export enum AttemptOutcomeKind {
  /** The status line and the headers of the response were received. */
  ResponseStarted = 'answered',
  /** The server refused the request before starting it, or no byte was written. */
  NotStarted = 'not-started',
  /** The connection broke after bytes were written. `reused` is true if it had carried an earlier request. */
  Broken = 'broken',
  /** The response is not valid HTTP, or belongs to another request. */
  Malformed = 'malformed'
}

export type AttemptOutcome =
  | { kind: AttemptOutcomeKind.ResponseStarted, response: IncomingMessage }
  | { kind: AttemptOutcomeKind.NotStarted, reason: string, response?: IncomingMessage }
  | { kind: AttemptOutcomeKind.Broken, reason: string, reused: boolean }
  | { kind: AttemptOutcomeKind.Malformed, reason: string }

export interface SendAttemptOptions {
  exchange: Exchange
  server: ServerRuntime
  headers: Record<string, string | string[]>
  /** Sends on a new connection, which is closed afterwards. */
  newConnection: boolean
  /** Called immediately before the first byte is written; false abandons the attempt. */
  maySend: () => boolean
  onOutcome: (outcome: AttemptOutcome) => void
  /** The connection is open and the first byte is about to be written. `connectionId` is undefined for a connection outside the pool. */
  onWritten: (connectionId: number | undefined) => void
  /** Bytes of the response were received. */
  onProgress: (connectionId: number | undefined) => void
  /** The response was received completely, whatever its status. */
  onFinished: (connectionId: number | undefined) => void
  /** A streamed request body exceeds the limit of the service. */
  onBodyTooLarge: () => void
}

/** An attempt in progress. */
export interface Attempt {
  /** Cancels the request at the server by closing the connection. */
  cancel: () => void
}

const maximumHeadBytes = 32_768
const minimumFinalStatus = 200
/** Bounds for the body of a refusal. */
const discardBounds = { maximumBytes: 16_384, milliseconds: 500 }
const invalidReasonPhrase = /[^\t\x20-\x7e\x80-\xff]/

/** Sends the request once. `onOutcome` is called exactly once unless the attempt is cancelled. */
export function sendAttempt (options: SendAttemptOptions): Attempt {
  const { exchange, server, onOutcome } = options
  let written = false
  let settled = false
  let headViolation: string | undefined
  let connectionId: number | undefined
  const settle = (outcome: AttemptOutcome): void => {
    if (settled) return
    settled = true
    onOutcome(outcome)
  }
  const outgoing: ClientRequest = sendRequest({
    host: server.host,
    port: server.port,
    method: exchange.request.method,
    path: exchange.request.url,
    headers: options.headers,
    agent: options.newConnection ? false : server.connections
  })
  const cancel = (): void => {
    settled = true
    outgoing.on('error', () => {})
    outgoing.destroy()
  }
  const write = (): void => {
    if (settled) return
    if (!options.maySend()) {
      outgoing.destroy()
      settle({ kind: AttemptOutcomeKind.NotStarted, reason: 'the right to send has lapsed' })
      return
    }
    written = true
    options.onWritten(connectionId)
    if (exchange.body === null) streamBody(options, outgoing, cancel)
    else outgoing.end(exchange.body)
  }
  outgoing.on('socket', (socket: Socket) => {
    watchStreamEnd(socket)
    expectResponse(socket, {
      maximumHeadBytes,
      hasBody: exchange.request.method !== 'HEAD',
      onViolation: violation => {
        headViolation = describeViolation(violation)
        outgoing.destroy(new Error(headViolation))
      }
    })
    const start = (): void => {
      if (!options.newConnection) connectionId = server.connections.identify(socket)
      write()
    }
    if (socket.connecting) socket.once('connect', start)
    else start()
  })
  outgoing.on('response', response => {
    // Node reports a response delimited by the end of the connection as complete even if the connection was reset.
    outgoing.on('error', error => response.destroy(error))
    options.onProgress(connectionId)
    response.on('data', () => options.onProgress(connectionId))
    response.on('end', () => options.onFinished(connectionId))
    // Node's parser accepts status codes and reason phrases for which writeHead throws.
    if ((response.statusCode ?? 0) < minimumFinalStatus || invalidReasonPhrase.test(response.statusMessage ?? '')) {
      outgoing.destroy()
      settle({ kind: AttemptOutcomeKind.Malformed, reason: 'the status line is invalid' })
      return
    }
    const echoedRequestId = response.headers['siskinbeam-request-id']
    if (echoedRequestId !== undefined && echoedRequestId !== exchange.requestId) {
      outgoing.destroy()
      settle({ kind: AttemptOutcomeKind.Malformed, reason: 'the answer belongs to another request' })
      return
    }
    if (!outgoing.writableFinished && response.statusCode !== undefined && response.statusCode < 400) {
      // A successful response that arrives before the request is written completely can't belong to it.
      if (exchange.body !== null) {
        outgoing.destroy()
        settle({ kind: AttemptOutcomeKind.Malformed, reason: 'the answer came before the request was sent' })
        return
      }
    }
    if (response.statusCode === 503 && response.headers['not-started'] === 'true') {
      discardBody(response, discardBounds)
      settle({ kind: AttemptOutcomeKind.NotStarted, reason: 'the server refused', response })
      return
    }
    settle({ kind: AttemptOutcomeKind.ResponseStarted, response })
  })
  outgoing.on('error', (error: NodeJS.ErrnoException) => {
    const reason = error.code ?? error.message
    if (!written) settle({ kind: AttemptOutcomeKind.NotStarted, reason })
    else if (headViolation !== undefined || reason.startsWith('HPE_')) settle({ kind: AttemptOutcomeKind.Malformed, reason })
    else settle({ kind: AttemptOutcomeKind.Broken, reason, reused: outgoing.reusedSocket })
  })
  outgoing.on('close', () => settle(written
    ? { kind: AttemptOutcomeKind.Broken, reason: 'the connection closed', reused: outgoing.reusedSocket }
    : { kind: AttemptOutcomeKind.NotStarted, reason: 'the connection closed' }))
  return { cancel }
}

// If the guest does not complete the body, it can't be completed at the server either, so the attempt is cancelled.
function streamBody ({ exchange, onBodyTooLarge }: SendAttemptOptions, outgoing: ClientRequest, cancel: () => void): void {
  const { request, service } = exchange
  const limit = service?.configuration.maximumBodyBytes ?? 0
  let length = 0
  request.on('data', (chunk: Buffer) => {
    length += chunk.length
    if (length <= limit) return
    request.unpipe(outgoing)
    cancel()
    onBodyTooLarge()
  })
  request.once('close', () => { if (!request.complete) cancel() })
  request.pipe(outgoing)
}
