// Streams the response of a server to the guest with backpressure. If the response is truncated, the connection to the
// guest is destroyed, so that a partial response never looks complete.
import type { IncomingMessage } from 'node:http'
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { isCompleteResponse } from '@siskinbeam/stream-end/watchStreamEnd'
import { finishExchange, type Exchange } from './exchange.js'
import { buildGuestHeaders } from './forwardHeaders.js'

/** How the response of a server ended. */
export enum RelayEnd {
  Complete = 'whole',
  /** The server ended the response early, or stalled until the deadline. */
  Truncated = 'truncated',
  /** The guest disconnected or read too slowly, which is no fault of the server. */
  Cancelled = 'cancelled'
}

export interface RelayResponseOptions {
  exchange: Exchange
  serverResponse: IncomingMessage
  /** Continues to read after the guest has disconnected, so that the complete response can be stored. */
  keepReading: boolean
  onChunk?: (chunk: Buffer) => void
  onEnd: (end: RelayEnd) => void
}

/** A claimed request without a guest may still get a response until this long after its deadline; it is stored for the guest's next attempt. */
export const lateResponseMilliseconds = 10_000

/** Relays one response and ends the exchange. */
export function relayResponse ({ exchange, serverResponse, keepReading, onChunk, onEnd }: RelayResponseOptions): void {
  const { response, host } = exchange
  let ended = false
  let incompleteEnd = RelayEnd.Truncated
  let relayedBytes = 0
  const cancel = (): void => {
    // After the guest has disconnected, a response that was already received is read to its end, so that its connection
    // can be reused.
    if (keepReading || serverResponse.complete) {
      const timer = setTimeout(() => serverResponse.destroy(), Math.max(0, exchange.deadlineAt - host.now()) + lateResponseMilliseconds).unref()
      serverResponse.once('close', () => clearTimeout(timer))
      serverResponse.resume()
      return
    }
    const isStalled = host.now() >= exchange.deadlineAt && response.writableLength === 0
    if (!isStalled) incompleteEnd = RelayEnd.Cancelled
    serverResponse.destroy()
  }
  const end = (kind: RelayEnd): void => {
    if (ended) return
    ended = true
    onEnd(kind)
  }
  if (!response.destroyed && !exchange.finished) response.writeHead(serverResponse.statusCode ?? 502, serverResponse.statusMessage, buildGuestHeaders(exchange, serverResponse))
  else cancel()
  serverResponse.on('data', (chunk: Buffer) => {
    relayedBytes += chunk.length
    onChunk?.(chunk)
    if (exchange.finished || response.destroyed) return
    if (!response.write(chunk)) serverResponse.pause()
  })
  response.on('drain', () => serverResponse.resume())
  response.on('close', () => {
    finishExchange(exchange)
    if (!ended) cancel()
  })
  const finishComplete = (): void => {
    if (!exchange.finished && !response.destroyed) {
      checkCompleteness(exchange, serverResponse, relayedBytes)
      response.end()
    }
    end(RelayEnd.Complete)
    finishExchange(exchange)
  }
  const finishIncomplete = (): void => {
    if (ended) return
    if (!exchange.finished) response.destroy()
    end(incompleteEnd)
    finishExchange(exchange)
  }
  const { socket } = serverResponse
  let isEnding = false
  serverResponse.on('end', () => {
    if (!serverResponse.complete) return
    isEnding = true
    isCompleteResponse(serverResponse, socket).then(isComplete => isComplete ? finishComplete() : finishIncomplete(), finishIncomplete)
  })
  serverResponse.on('error', () => {})
  serverResponse.on('close', () => { if (!isEnding) finishIncomplete() })
}

const statusesWithoutBody = [204, 304]

// Verifies independently of Node's parser that a response ends cleanly only after all bytes of its content-length, and
// that it does not state the request ID of another request.
function checkCompleteness ({ request, requestId }: Exchange, { headers, statusCode = 0 }: IncomingMessage, relayedBytes: number): void {
  const contentLength = headers['content-length']
  const echoedRequestId = headers['siskinbeam-request-id']
  const isComplete = contentLength === undefined || request.method === 'HEAD' || statusesWithoutBody.includes(statusCode) || Number(contentLength) === relayedBytes
  checkInvariant({
    invariant: Invariant.AnswerWholeAndOwn,
    holds: isComplete && (echoedRequestId === undefined || echoedRequestId === requestId),
    detail: () => `request ${requestId} got ${relayedBytes} of ${contentLength ?? 'unstated'} bytes of the response to ${String(echoedRequestId ?? requestId)}`
  })
}
