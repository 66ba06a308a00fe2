// Buffers a response for the claim of its request, up to the size limit of a stored response.
import type { IncomingMessage } from 'node:http'
import type { StoredResponse } from '@siskinbeam/request-claims/claimRow'
import { maximumStoredBodyBytes } from '@siskinbeam/request-claims/claimState'

const storedHeaders = ['content-type', 'content-language', 'content-encoding', 'location', 'etag', 'last-modified', 'cache-control']

/** The part of a response received so far. `body` returns null once it is too large. */
export interface BufferedResponse {
  append: (chunk: Buffer) => void
  body: () => Buffer | null
  headers: () => StoredResponse['headers']
}

/** Creates an empty buffer for a response. */
export function bufferResponse (response: IncomingMessage): BufferedResponse {
  const chunks: Buffer[] = []
  let length = 0
  return {
    append: chunk => {
      length += chunk.length
      if (length <= maximumStoredBodyBytes) chunks.push(chunk)
      else chunks.length = 0
    },
    body: () => length <= maximumStoredBodyBytes ? Buffer.concat(chunks) : null,
    headers: () => Object.fromEntries(storedHeaders.flatMap(name => {
      const value = response.headers[name]
      return value === undefined ? [] : [[name, value] as const]
    }))
  }
}
