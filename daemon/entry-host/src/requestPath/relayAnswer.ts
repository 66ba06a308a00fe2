// Streams the answer of a server to the guest with backpressure. An answer that ends early destroys
// the connection to the guest, so that part of an answer never looks whole.
import type { IncomingMessage } from 'node:http'
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { isCompleteResponse } from '@siskinbeam/stream-end/watchStreamEnd'
import { finishExchange, type Exchange } from './exchange.js'
import { makeGuestHeaders } from './forwardHeaders.js'

/** How an answer ended at the server's side. */
export enum AnswerEnd {
  Whole = 'whole',
  /** The server ended the answer early, or sent nothing more until the deadline. */
  Truncated = 'truncated',
  /** The guest left first, or read too slowly, for which the server is not to blame. */
  Cancelled = 'cancelled'
}

export interface RelayAnswerOptions {
  exchange: Exchange
  answer: IncomingMessage
  /** Reads on when the guest is gone, so that the whole answer can be kept. */
  keepReading: boolean
  onChunk?: (chunk: Buffer) => void
  onEnd: (end: AnswerEnd) => void
}

/** Relays one answer and ends the exchange. */
export function relayAnswer ({ exchange, answer, keepReading, onChunk, onEnd }: RelayAnswerOptions): void {
  const { response, host } = exchange
  let ended = false
  let brokenEnd = AnswerEnd.Truncated
  let relayedBytes = 0
  const cancel = (): void => {
    // Once its guest is gone, an answer that is already here is read to its end, which frees its connection.
    if (keepReading || answer.complete) return answer.resume() as unknown as void
    const isStalled = host.now() >= exchange.deadlineAt && response.writableLength === 0
    if (!isStalled) brokenEnd = AnswerEnd.Cancelled
    answer.destroy()
  }
  const end = (how: AnswerEnd): void => {
    if (ended) return
    ended = true
    onEnd(how)
  }
  if (!response.destroyed && !exchange.finished) response.writeHead(answer.statusCode ?? 502, answer.statusMessage, makeGuestHeaders(exchange, answer))
  else cancel()
  answer.on('data', (chunk: Buffer) => {
    relayedBytes += chunk.length
    onChunk?.(chunk)
    if (exchange.finished || response.destroyed) return
    if (!response.write(chunk)) answer.pause()
  })
  response.on('drain', () => answer.resume())
  response.on('close', () => {
    finishExchange(exchange)
    if (!ended) cancel()
  })
  const finishWhole = (): void => {
    if (!exchange.finished && !response.destroyed) {
      checkWhole(exchange, answer, relayedBytes)
      response.end()
    }
    end(AnswerEnd.Whole)
    finishExchange(exchange)
  }
  const finishBroken = (): void => {
    if (ended) return
    if (!exchange.finished) response.destroy()
    end(brokenEnd)
    finishExchange(exchange)
  }
  const { socket } = answer
  let isEnding = false
  answer.on('end', () => {
    if (!answer.complete) return
    isEnding = true
    isCompleteResponse(answer, socket).then(isWhole => isWhole ? finishWhole() : finishBroken(), finishBroken)
  })
  answer.on('error', () => {})
  answer.on('close', () => { if (!isEnding) finishBroken() })
}

const statusesWithoutBody = [204, 304]

// Counts again what the parser vouches for: an answer ends cleanly only after all that it stated.
function checkWhole ({ request, requestId }: Exchange, { headers, statusCode = 0 }: IncomingMessage, relayedBytes: number): void {
  const stated = headers['content-length']
  const echoed = headers['siskinbeam-request-id']
  const isWhole = stated === undefined || request.method === 'HEAD' || statusesWithoutBody.includes(statusCode) || Number(stated) === relayedBytes
  checkInvariant({
    invariant: Invariant.AnswerWholeAndOwn,
    holds: isWhole && (echoed === undefined || echoed === requestId),
    detail: () => `request ${requestId} got ${relayedBytes} of ${stated ?? 'unstated'} bytes of the answer to ${String(echoed ?? requestId)}`
  })
}
