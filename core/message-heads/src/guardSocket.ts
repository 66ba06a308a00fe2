// Applies the rule for heads to the responses on a socket of Node's http module, before its parser gets the bytes. The parser never
// gets the first byte that breaks the rule, nor what follows it: some versions end a head at any byte after CR LF CR, so no byte in
// its place would be safe.
import type { Socket } from 'node:net'
import { createHeadGuard, MessageKind, type HeadGuard, type HeadViolation } from './headGuard.js'

interface GuardedResponses {
  guard: HeadGuard
  onViolation: (violation: HeadViolation) => void
}

export interface ExpectResponseOptions {
  maximumHeadBytes: number
  /** False for a response to HEAD. */
  hasBody: boolean
  /** Must end the request, since the rest of the response does not arrive. */
  onViolation: (violation: HeadViolation) => void
}

const guardedResponses = new WeakMap<Socket, GuardedResponses>()

/** Guards the response to a request that is about to be written. Must be called from the 'socket' event of each request. */
export function expectResponse (socket: Socket, { maximumHeadBytes, hasBody, onViolation }: ExpectResponseOptions): void {
  const known = guardedResponses.get(socket)
  const guarded = known ?? { guard: createHeadGuard({ kind: MessageKind.Response, maximumHeadBytes }), onViolation }
  guarded.onViolation = onViolation
  guarded.guard.expectResponse(hasBody)
  if (known !== undefined) return
  guardedResponses.set(socket, guarded)
  guardData(socket, guarded.guard, violation => guarded.onViolation(violation))
}

/** Formats a violation for a log line. */
export function describeViolation ({ offset, fault }: HeadViolation): string {
  return `${fault}, at byte ${offset} of the data received`
}

function guardData (socket: Socket, guard: HeadGuard, onViolation: (violation: HeadViolation) => void): void {
  // Without a listener for data, a parser may read directly from the handle.
  socket.on('data', () => {})
  const push = socket.push.bind(socket)
  let isBroken = false
  socket.push = (bytes: Buffer | null, ...rest) => {
    if (bytes === null) return push(bytes, ...rest)
    if (isBroken) return true
    const violation = guard.check(bytes)
    if (violation === undefined) return push(bytes, ...rest)
    isBroken = true
    if (violation.offset > 0) push(bytes.subarray(0, violation.offset), ...rest)
    onViolation(violation)
    return true
  }
}
