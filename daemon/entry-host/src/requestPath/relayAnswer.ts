// Streams the answer of a server to the guest with backpressure. An answer that ends early destroys
// the connection to the guest, so that part of an answer never looks whole.
import type { IncomingMessage } from 'node:http'
import { finishExchange, type Exchange } from './exchange.js'
import { makeGuestHeaders } from './forwardHeaders.js'

/** How a relay ended. */
export enum RelayEnd {
  Whole = 'whole',
  /** The server ended the answer early. */
  Truncated = 'truncated',
  /** The guest closed its connection. */
  GuestGone = 'guest-gone'
}

export interface RelayAnswerOptions {
  exchange: Exchange
  answer: IncomingMessage
  /** Gets each part of the body as it passes. */
  onChunk?: (chunk: Buffer) => void
  onEnd: (end: RelayEnd) => void
}

/** Relays one answer and ends the exchange. */
export function relayAnswer ({ exchange, answer, onChunk, onEnd }: RelayAnswerOptions): void {
  const { response } = exchange
  let ended = false
  const end = (how: RelayEnd): void => {
    if (ended) return
    ended = true
    onEnd(how)
    finishExchange(exchange)
  }
  response.writeHead(answer.statusCode ?? 502, answer.statusMessage, makeGuestHeaders(exchange, answer))
  answer.on('data', (chunk: Buffer) => {
    onChunk?.(chunk)
    if (response.destroyed) return
    if (!response.write(chunk)) answer.pause()
  })
  response.on('drain', () => answer.resume())
  answer.on('end', () => {
    if (!answer.complete) return
    if (!response.destroyed) response.end()
    end(RelayEnd.Whole)
  })
  answer.on('error', () => {})
  answer.on('close', () => {
    if (answer.complete) return
    response.destroy()
    end(RelayEnd.Truncated)
  })
  response.on('close', () => {
    if (!response.writableFinished && !ended) end(RelayEnd.GuestGone)
  })
}
