// Computes the fingerprint that identifies repeated copies of a request.
import { createHash } from 'node:crypto'

/** Hashes the method, the path with its query, and the body digest to 22 characters of Base64url. */
export function computeFingerprint ({ method, path, bodyDigest }: { method: string, path: string, bodyDigest: string }): string {
  return createHash('sha256').update(`${method} ${path} ${bodyDigest}`).digest('base64url').slice(0, 22)
}
