// Reads the body of a response that nobody needs, so that its connection can be used again. A body that is long or slow
// costs its connection instead.
import type { IncomingMessage } from 'node:http'

export interface DiscardBodyOptions {
  maximumBytes: number
  milliseconds: number
}

/** Discards a body. Its connection is closed once the body exceeds either bound. */
export function discardBody (response: IncomingMessage, { maximumBytes, milliseconds }: DiscardBodyOptions): void {
  let bytes = 0
  const timer = setTimeout(() => response.destroy(), milliseconds)
  response.on('error', () => {})
  response.once('close', () => clearTimeout(timer))
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > maximumBytes) response.destroy()
  })
}
