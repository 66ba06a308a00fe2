// Identifies the request of an exchange by what it asks for, whoever sends it: for claims, where one key
// must not stand for two requests, and for requests that crash servers.
import { createHash } from 'node:crypto'
import { computeFingerprint } from '@siskinbeam/crash-suspects/computeFingerprint'
import type { Exchange } from './exchange.js'

/** Digest of method, path with query, and body. A streamed body is left out. */
export function fingerprintExchange ({ request, body }: Exchange): string {
  const bodyDigest = body === null || body.length === 0 ? '' : createHash('sha256').update(body).digest('base64url')
  return computeFingerprint({ method: request.method ?? '', path: request.url ?? '', bodyDigest })
}
