// Collects an answer for the claim of its request, up to the size that a row of the table service holds.
import type { IncomingMessage } from 'node:http'
import type { StoredResponse } from '@siskinbeam/request-claims/claimRow'
import { maximumStoredBodyBytes } from '@siskinbeam/request-claims/claimState'

const keptHeaders = ['content-type', 'content-language', 'content-encoding', 'location', 'etag', 'last-modified', 'cache-control']

/** The answer as far as it was collected. `body` is null once it is too large. */
export interface KeptAnswer {
  add: (chunk: Buffer) => void
  body: () => Buffer | null
  headers: () => StoredResponse['headers']
}

/** Starts to collect an answer. */
export function keepAnswer (answer: IncomingMessage): KeptAnswer {
  const chunks: Buffer[] = []
  let length = 0
  return {
    add: chunk => {
      length += chunk.length
      if (length <= maximumStoredBodyBytes) chunks.push(chunk)
      else chunks.length = 0
    },
    body: () => length <= maximumStoredBodyBytes ? Buffer.concat(chunks) : null,
    headers: () => Object.fromEntries(keptHeaders.flatMap(name => {
      const value = answer.headers[name]
      return value === undefined ? [] : [[name, value] as const]
    }))
  }
}
