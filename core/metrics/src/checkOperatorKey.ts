// Checks the operator key of a request. Kept apart from the listener, so that a program without a key does
// not load Node's crypto module.
import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

const digest = (text: string): Buffer => createHash('sha256').update(text).digest()

/** Gives a check that lets through requests with the key. */
export function checkOperatorKey (operatorKey: string): (request: IncomingMessage) => boolean {
  const expected = digest(`Bearer ${operatorKey}`)
  return request => timingSafeEqual(digest(request.headers.authorization ?? ''), expected)
}
