// Computes a digest of a request's content, independent of its sender. Claims use it to detect an idempotency key
// that is reused for another request; crash detection uses it to recognize requests that crash servers.
import { createHash } from 'node:crypto'
import { computeFingerprint } from '@siskinbeam/crash-suspects/computeFingerprint'
import type { Exchange } from './exchange.js'

/** Returns the digest of method, path with query, and body. A streamed body is not included. */
export function fingerprintExchange ({ request, body }: Exchange): string {
  const bodyDigest = body === null || body.length === 0 ? '' : createHash('sha256').update(body).digest('base64url')
  return computeFingerprint({ method: request.method ?? '', path: request.url ?? '', bodyDigest })
}
