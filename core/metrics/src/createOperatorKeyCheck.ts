// Checks the operator key of a request. Separate from the listener, so that a program without a key does not
// load the crypto module of Node.js.
import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

const digest = (text: string): Buffer => createHash('sha256').update(text).digest()

/** Returns a predicate that accepts requests with the operator key. The comparison takes constant time. */
export function createOperatorKeyCheck (operatorKey: string): (request: IncomingMessage) => boolean {
  const expected = digest(`Bearer ${operatorKey}`)
  return request => timingSafeEqual(digest(request.headers.authorization ?? ''), expected)
}
