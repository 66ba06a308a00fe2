// The response body of the server stand-in. A guest can check that it is complete and belongs to its request.
import { createHash } from 'node:crypto'

/** Returns the signature of a response: the first 22 base64url characters of a SHA-256 digest. */
export function signResponse (requestId: string, body: string): string {
  return createHash('sha256').update(`${requestId}\n${body}`).digest('base64url').slice(0, 22)
}

/** Returns the body of the response to a request: JSON, padded by a length that depends on the request ID. */
export function formatResponseBody (requestId: string, method: string, path: string, requestBody: string): string {
  const head = JSON.stringify({ requestId, method, path, bodyDigest: createHash('sha256').update(requestBody).digest('base64url') })
  return head.padEnd(head.length + requestId.length * 20, '.')
}
