// Computes the fingerprint by which copies of a request are recognised: method, host, path with query, and body. The ID is not part
// of it, since each attempt of a guest has its own. Node's crypto module is not used, because loading it takes a tenth of the startup.
import type { IncomingMessage } from 'node:http'
import { digestBytes, digestText } from '@siskinbeam/random/hashText'

/** The part of an exchange that tells its request from others. */
export interface IdentifiedRequest {
  requestId: string
  request: Pick<IncomingMessage, 'method' | 'url' | 'headers'>
  body: Buffer | undefined
}

/** Bounds the time of a computation; longer bodies are distinguished by their length and this many bytes. */
const maximumDigestedBytes = 1_048_576

/** Returns the part of the fingerprint that does not depend on the body. */
export function fingerprintHead ({ request }: IdentifiedRequest): string {
  return digestText(`${request.method} ${request.headers.host} ${request.url}`)
}

/** Returns the whole fingerprint, which begins with that of the head. */
export function fingerprintRequest (identified: IdentifiedRequest): string {
  const head = fingerprintHead(identified)
  const { body } = identified
  return body === undefined ? head : `${head}.${body.length}.${digestBytes(body.subarray(0, maximumDigestedBytes))}`
}
