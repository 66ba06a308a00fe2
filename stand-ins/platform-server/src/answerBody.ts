// The body that a stand-in of a server answers with, so that a guest can check that it is whole and its own.
import { createHash } from 'node:crypto'

/** Signature of an answer. */
export function signAnswer (requestId: string, body: string): string {
  return createHash('sha256').update(`${requestId}\n${body}`).digest('base64url').slice(0, 22)
}

/** The body of the answer to a request. */
export function writeAnswerBody (requestId: string, method: string, path: string, requestBody: string): string {
  const head = JSON.stringify({ requestId, method, path, bodyDigest: createHash('sha256').update(requestBody).digest('base64url') })
  return head.padEnd(head.length + requestId.length * 20, '.')
}
