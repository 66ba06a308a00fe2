// Passes the requests of a connection that was accepted to Node's parser one at a time, after the rule for heads has been applied to
// them. The bytes that follow a request are held until its response has ended; beyond a bound, the socket is not read. Node's parser
// would otherwise emit each request in the bytes that it gets. The parser never gets the first byte that breaks the rule, nor what
// follows it.
import type { Socket } from 'node:net'
import { createHeadGuard, MessageKind, type HeadViolation } from './headGuard.js'

export interface RequestGateOptions {
  maximumHeadBytes: number
  onViolation: (violation: HeadViolation) => void
  /** Called when the guest has ended its sending side while a request is in progress or waits. */
  onEnd?: (() => void) | undefined
}

export interface RequestGate {
  /** Records that the response to a request has ended. Must be called once for each request. */
  recordResponse: () => void
  /** Whether bytes of a further request are held. */
  isHolding: () => boolean
  /** Whether each request has its response, and no byte of a further one has arrived. False until the first response has ended. */
  isIdle: () => boolean
  /** How long the first bytes of the latest request were held. The guest counts this time as time in progress. */
  heldMilliseconds: () => number
  /** Whether the guest has ended its sending side. */
  hasEnded: () => boolean
  /** Discards the held bytes. */
  discardHeld: () => void
}

/** The socket is not read while this many bytes are held, so that one read more may be held. */
const maximumHeldBytes = 16_384
/** Arrivals that are closer to each other than this count as one. */
const arrivalMilliseconds = 10
const noBytes: Buffer = Buffer.alloc(0)
const emptyLines = /^[\r\n]*$/

/** Creates the gate of a connection. Must be called from the 'connection' event of the server. */
export function createRequestGate (socket: Socket, { maximumHeadBytes, onViolation, onEnd }: RequestGateOptions): RequestGate {
  const guard = createHeadGuard({ kind: MessageKind.Request, maximumHeadBytes })
  const push = socket.push.bind(socket)
  const read = socket._read.bind(socket)
  let held = noBytes
  /** When held bytes arrived, and the number of bytes that had arrived by then. */
  let arrivals: Array<{ at: number, bytes: number }> = []
  let receivedBytes = 0
  let heldMilliseconds = 0
  let requests = 0
  let responses = 0
  let hasEnded = false
  let isEndHeld = false
  let isBroken = false
  let isReleaseScheduled = false

  const isOpen = (): boolean => responses >= requests
  const isFull = (): boolean => held.length >= maximumHeldBytes
  const hold = (bytes: Buffer): void => {
    held = bytes
    const at = performance.now()
    const latest = arrivals.at(-1)
    if (latest === undefined || at - latest.at > arrivalMilliseconds) arrivals.push({ at, bytes: receivedBytes })
    else latest.bytes = receivedBytes
  }
  /** Passes the first request of the bytes and holds the rest. Returns whether the socket can be read. */
  const pass = (bytes: Buffer): boolean => {
    const end = guard.checkMessage(bytes)
    if (end === undefined) return push(bytes)
    if (typeof end !== 'number') {
      isBroken = true
      if (end.offset > 0) push(bytes.subarray(0, end.offset))
      onViolation(end)
      return true
    }
    requests += 1
    if (end < bytes.length && arrivals.length === 0) hold(bytes.subarray(end))
    else held = bytes.subarray(end)
    const isWanted = push(held.length === 0 ? bytes : bytes.subarray(0, end))
    if (held.length > 0 && isOpen()) scheduleRelease()
    return isWanted && !isFull()
  }
  const release = (): void => {
    isReleaseScheduled = false
    if (socket.destroyed || !isOpen()) return
    const bytes = held
    held = noBytes
    arrivals = arrivals.filter(arrival => arrival.bytes > receivedBytes - bytes.length)
    heldMilliseconds = performance.now() - (arrivals[0]?.at ?? Infinity)
    if (bytes.length > 0 && !isBroken) pass(bytes)
    if (held.length === 0) arrivals = []
    endIfOpen()
  }
  // Requests that are answered at once would otherwise keep the event loop from all other connections.
  const scheduleRelease = (): void => {
    if (isReleaseScheduled) return
    isReleaseScheduled = true
    setImmediate(release)
  }
  const endIfOpen = (): void => {
    if (!isEndHeld || held.length > 0 || !isOpen()) return
    isEndHeld = false
    push(null)
    socket.read(0)
  }

  // A server's parser reads directly from the handle until a listener for data is added.
  socket.on('data', () => {})
  socket._read = size => { if (!isFull()) read(size) }
  socket.push = (bytes: Buffer | null) => {
    if (bytes === null) {
      hasEnded = true
      if (held.length > 0 || !isOpen()) onEnd?.()
      if (held.length === 0 || isBroken || socket.destroyed) return push(null)
      isEndHeld = true
      return false
    }
    if (isBroken) return true
    receivedBytes += bytes.length
    if (held.length === 0 && isOpen()) {
      // The rest of a request whose first bytes were held belongs to it.
      if (guard.isBetweenMessages()) heldMilliseconds = 0
      return pass(bytes)
    }
    hold(held.length === 0 ? bytes : Buffer.concat([held, bytes]))
    return !isFull()
  }

  return {
    recordResponse: () => {
      responses += 1
      if (held.length > 0 || isEndHeld) scheduleRelease()
    },
    isHolding: () => held.length > 0 && !emptyLines.test(held.toString('latin1', 0, maximumHeldBytes)),
    isIdle: () => requests > 0 && isOpen() && held.length === 0 && guard.isBetweenMessages(),
    heldMilliseconds: () => Math.max(0, heldMilliseconds),
    hasEnded: () => hasEnded,
    discardHeld: () => { held = noBytes }
  }
}
