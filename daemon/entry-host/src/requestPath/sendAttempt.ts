// One send of a request to one server. The outcome says whether the server may have started it,
// because only then is it certain whether the request may be sent again.
import { request as sendRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { watchStreamEnd } from '@siskinbeam/stream-end/watchStreamEnd'
import type { ServerRuntime } from '../servers/serviceRuntime.js'
import type { Exchange } from './exchange.js'

/** How a send ended. */
export enum AttemptEnd {
  /** The head of the answer is here. */
  Answered = 'answered',
  /** The server refused before it started the request, or no byte reached it. */
  NotStarted = 'not-started',
  /** The connection broke after bytes were written. `reused`: it had carried an earlier request. */
  Broken = 'broken',
  /** The answer is not HTTP, or belongs to another request. */
  Malformed = 'malformed'
}

export type AttemptOutcome =
  | { kind: AttemptEnd.Answered, answer: IncomingMessage }
  | { kind: AttemptEnd.NotStarted, reason: string, answer?: IncomingMessage }
  | { kind: AttemptEnd.Broken, reason: string, reused: boolean }
  | { kind: AttemptEnd.Malformed, reason: string }

export interface SendAttemptOptions {
  exchange: Exchange
  server: ServerRuntime
  headers: Record<string, string | string[]>
  /** Uses no open connection, and closes the new one afterwards. */
  newConnection: boolean
  /** Asked right before the first byte is written; false gives up the send. */
  maySend: () => boolean
  onOutcome: (outcome: AttemptOutcome) => void
  /** The connection is open and the first byte goes out next. `connectionId` is absent for a connection of its own. */
  onWritten: (connectionId: number | undefined) => void
  /** A byte of the answer came in. */
  onProgress: (connectionId: number | undefined) => void
  /** The answer is complete, whatever it says. */
  onFinished: (connectionId: number | undefined) => void
  /** A streamed body is longer than its service accepts. */
  onBodyTooLarge: () => void
}

/** A send in progress. */
export interface Attempt {
  /** Closes the connection, which cancels the request at the server. */
  cancel: () => void
}

const lowestFinalStatus = 200
const unwritableText = /[^\t\x20-\x7e\x80-\xff]/

/** Sends the request once. `onOutcome` is called exactly once unless the attempt is cancelled. */
export function sendAttempt (options: SendAttemptOptions): Attempt {
  const { exchange, server, onOutcome } = options
  let written = false
  let settled = false
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
      settle({ kind: AttemptEnd.NotStarted, reason: 'the right to send has lapsed' })
      return
    }
    written = true
    options.onWritten(connectionId)
    if (exchange.body === null) streamBody(options, outgoing, cancel)
    else outgoing.end(exchange.body)
  }
  outgoing.on('socket', (socket: Socket) => {
    watchStreamEnd(socket)
    const start = (): void => {
      if (!options.newConnection) connectionId = server.connections.identify(socket)
      write()
    }
    if (socket.connecting) socket.once('connect', start)
    else start()
  })
  outgoing.on('response', answer => {
    // Node calls an answer that ends with its connection complete, also when the connection was reset.
    outgoing.on('error', error => answer.destroy(error))
    options.onProgress(connectionId)
    answer.on('data', () => options.onProgress(connectionId))
    answer.on('end', () => options.onFinished(connectionId))
    // Node's parser passes on what its writer throws at.
    if ((answer.statusCode ?? 0) < lowestFinalStatus || unwritableText.test(answer.statusMessage ?? '')) {
      outgoing.destroy()
      settle({ kind: AttemptEnd.Malformed, reason: 'the status line is invalid' })
      return
    }
    const echoed = answer.headers['siskinbeam-request-id']
    if (echoed !== undefined && echoed !== exchange.requestId) {
      outgoing.destroy()
      settle({ kind: AttemptEnd.Malformed, reason: 'the answer belongs to another request' })
      return
    }
    if (!outgoing.writableFinished && answer.statusCode !== undefined && answer.statusCode < 400) {
      // An answer to a request that is not yet written whole can't be its answer.
      if (exchange.body !== null) {
        outgoing.destroy()
        settle({ kind: AttemptEnd.Malformed, reason: 'the answer came before the request was sent' })
        return
      }
    }
    if (answer.statusCode === 503 && answer.headers['not-started'] === 'true') {
      answer.resume()
      settle({ kind: AttemptEnd.NotStarted, reason: 'the server refused', answer })
      return
    }
    settle({ kind: AttemptEnd.Answered, answer })
  })
  outgoing.on('error', (error: NodeJS.ErrnoException) => {
    const reason = error.code ?? error.message
    if (!written) settle({ kind: AttemptEnd.NotStarted, reason })
    else if (reason.startsWith('HPE_')) settle({ kind: AttemptEnd.Malformed, reason })
    else settle({ kind: AttemptEnd.Broken, reason, reused: outgoing.reusedSocket })
  })
  outgoing.on('close', () => settle(written
    ? { kind: AttemptEnd.Broken, reason: 'the connection closed', reused: outgoing.reusedSocket }
    : { kind: AttemptEnd.NotStarted, reason: 'the connection closed' }))
  return { cancel }
}

// A body that its guest does not complete can't be completed at the server either.
function streamBody ({ exchange, onBodyTooLarge }: SendAttemptOptions, outgoing: ClientRequest, cancel: () => void): void {
  const { request, service } = exchange
  const limit = service?.rule.maximumBodyBytes ?? 0
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
