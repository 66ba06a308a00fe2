// Identifies a request by what it asks for, whoever sends it.
import { createHash } from 'node:crypto'
import type { Exchange } from './exchange.js'

/** Digest of method, path with query, and body, 64 hexadecimal digits. A streamed body is left out. */
export function computeFingerprint ({ request, body }: Exchange): string {
  return createHash('sha256').update(`${request.method} ${request.url}\n`).update(body ?? '').digest('hex')
}
