// The fingerprint by which hosts recognise a request that is sent again.
import { createHash } from 'node:crypto'

/** Hashes method, path with query, and body digest to 22 characters. */
export function computeFingerprint ({ method, path, bodyDigest }: { method: string, path: string, bodyDigest: string }): string {
  return createHash('sha256').update(`${method} ${path} ${bodyDigest}`).digest('base64url').slice(0, 22)
}
