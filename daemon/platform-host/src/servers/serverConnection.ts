// A persistent connection to a server and the exchanges on it. The connection carries one exchange at a time. It is
// reused only after a complete response that matches the request and is followed by no further bytes.
import { Agent, request as startRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { describeViolation, expectResponse } from '@siskinbeam/message-heads/guardSocket'
import { setTimeoutAfterPoll } from '@siskinbeam/processes/setTimeoutAfterPoll'
import { splitAddress } from '@siskinbeam/settings/splitAddress'
import { isCompleteResponse, watchStreamEnd } from '@siskinbeam/stream-end/watchStreamEnd'

/** What becomes of a response whose body has more bytes than the exchange accepts. */
export enum LargeBody {
  /** The exchange succeeds, and its receiver owns the remaining body. */
  Stream = 'stream',
  /** The exchange fails, and its connection is closed. */
  Refuse = 'refuse'
}

export interface ServerExchange<Large extends LargeBody> {
  method: string
  path: string
  /** Alternating names and values, in the form of Node's raw headers. */
  headers: string[]
  body: Buffer | undefined
  timeoutMilliseconds: number
  /** Responses with bodies up to this size are buffered until they are complete. */
  acceptedBodyBytes: number
  /** Takes room for further bytes that are buffered. Without room, the response counts as one that is too large. */
  takeBytes?: (bytes: number) => boolean
  largeBody: Large
  /** Whether a response belongs to this exchange. The connection is closed after one that does not. */
  isMatchingResponse: (status: number, headers: IncomingHttpHeaders) => boolean
  /** Called once the exchange has started, with a function that cancels it. */
  onStarted?: (cancel: () => void) => void
}

export interface CompleteResponse {
  status: number
  headers: IncomingHttpHeaders
  rawHeaders: string[]
  body: Buffer
}

export interface ReceivedResponse extends CompleteResponse {
  /** The remaining body if the response is too large to be buffered. */
  rest: RemainingBody | undefined
}

/**
 * The part of a large response's body that has not been read yet. Its receiver reads it to its end or discards it. What is
 * left of it soon after the timeout of the exchange is discarded in any case.
 */
export interface RemainingBody {
  stream: IncomingMessage
  /** After the end of the stream: whether the body is complete, or the connection was reset. */
  isComplete: () => Promise<boolean>
  /** Closes the connection, so that the server stops sending. Does nothing after the end of the stream. */
  discard: () => void
}

export enum ExchangeOutcome {
  Responded = 'answered',
  /** No byte of the request reached the server. */
  NotSent = 'not-sent',
  /** The connection broke, or the response was incomplete or belonged to another request. */
  Broken = 'broken',
  /** The response has a larger body than the exchange accepts. */
  TooLarge = 'too-large',
  TimedOut = 'timed-out',
  Cancelled = 'cancelled'
}

interface LargeBodyTypes {
  [LargeBody.Stream]: { received: ReceivedResponse, failure: Exclude<ExchangeOutcome, ExchangeOutcome.Responded | ExchangeOutcome.TooLarge> }
  [LargeBody.Refuse]: { received: CompleteResponse, failure: Exclude<ExchangeOutcome, ExchangeOutcome.Responded> }
}

/** Only the result of an exchange that streams large bodies can hold a remaining body. */
export type ExchangeResult<Large extends LargeBody> =
  | { outcome: ExchangeOutcome.Responded, received: LargeBodyTypes[Large]['received'] }
  | { outcome: LargeBodyTypes[Large]['failure'], reason: string }

export interface ServerConnection {
  runExchange: <Large extends LargeBody>(exchange: ServerExchange<Large>) => Promise<ExchangeResult<Large>>
  /** Whether an earlier exchange has ended on this connection. */
  wasUsed: () => boolean
  /** Whether the connection was established before a time on the monotonic clock, and is still open. */
  isOpenSince: (time: number) => boolean
  close: () => void
}

export interface CreateServerConnectionOptions {
  address: string
  /** Called when an exchange has ended and the connection can be reused. */
  onIdle: (connection: ServerConnection) => void
  onClosed: (connection: ServerConnection) => void
  /** Called for each new socket. */
  onOpened: () => void
  /** Milliseconds of the monotonic clock. */
  now: () => number
}

const maximumHeadBytes = 32_768
/** Time after the timeout of an exchange that the receiver of a remaining body has to break it off itself. */
const remainingBodyMarginMilliseconds = 250
/** Behind a cut link, a new connection would hang until the deadline of its request. */
const connectTimeoutMilliseconds = 250
const timedOutReason = 'timed out'
const cancelledReason = 'cancelled'

/** Creates a connection, which is opened by its first exchange. */
export function createServerConnection (options: CreateServerConnectionOptions): ServerConnection {
  const agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 })
  const { host, port } = splitAddress(options.address)
  let currentSocket: Socket | undefined
  let connectedAt = Infinity
  let busy = false
  let closed = false

  const close = (): void => {
    if (closed) return
    closed = true
    agent.destroy()
    options.onClosed(connection)
  }

  const trackSocket = (socket: Socket): void => {
    if (socket === currentSocket) return
    // The agent opens a second socket if the first one was closed while it was idle.
    currentSocket = socket
    options.onOpened()
    socket.on('close', close)
    socket.on('data', () => { if (!busy) close() })
    watchStreamEnd(socket)
  }

  const runExchange = <Large extends LargeBody>(exchange: ServerExchange<Large>): Promise<ExchangeResult<Large>> => new Promise(resolve => {
    busy = true
    let connected = false
    let responded = false
    let settled = false
    const startedAt = options.now()
    const settle = (result: ExchangeResult<LargeBody>, reusable: boolean): void => {
      if (settled) return
      settled = true
      clearTimeout(timer)
      clearTimeout(connectTimer)
      if (!reusable) {
        request.destroy()
        close()
      }
      resolve(result as ExchangeResult<Large>)
    }
    const fail = (error: Error): void => {
      const outcome = error.message === timedOutReason
        ? ExchangeOutcome.TimedOut
        : error.message === cancelledReason ? ExchangeOutcome.Cancelled : connected ? ExchangeOutcome.Broken : ExchangeOutcome.NotSent
      settle({ outcome, reason: error.message }, false)
    }
    const request = startRequest({
      agent, host, port, method: exchange.method, path: exchange.path, headers: exchange.headers as never, setHost: false
    })
    const timer = setTimeoutAfterPoll(() => fail(new Error(timedOutReason)), exchange.timeoutMilliseconds)
    const connectTimer = setTimeoutAfterPoll(() => { if (!connected) fail(new Error('no connection in time')) }, connectTimeoutMilliseconds)
    request.once('socket', socket => {
      trackSocket(socket)
      expectResponse(socket, { maximumHeadBytes, hasBody: exchange.method !== 'HEAD', onViolation: violation => fail(new Error(describeViolation(violation))) })
      if (!socket.connecting) connected = true
      else {
        socket.once('connect', () => {
          connected = true
          connectedAt = options.now()
        })
      }
    })
    request.on('error', fail)
    // Without an error or a response, as after a switch of protocols that nobody asked for.
    request.once('close', () => { if (!responded) fail(new Error('connection closed without a response')) })
    request.once('response', response => {
      responded = true
      const status = response.statusCode ?? 0
      if (!exchange.isMatchingResponse(status, response.headers)) {
        fail(new Error('response belongs to another request'))
        return
      }
      const chunks: Buffer[] = []
      let bytes = 0
      const createReceived = (): CompleteResponse => {
        const [first, ...others] = chunks.splice(0)
        return { status, headers: response.headers, rawHeaders: response.rawHeaders, body: first !== undefined && others.length === 0 ? first : Buffer.concat([first ?? Buffer.alloc(0), ...others]) }
      }
      const createResult = (): ExchangeResult<LargeBody> => ({ outcome: ExchangeOutcome.Responded, received: { ...createReceived(), rest: undefined } })
      const isComplete = (): Promise<boolean> => isCompleteResponse(response, currentSocket as Socket)
      const settleWithRest = (): void => {
        if (settled) return
        const expiry = setTimeout(() => response.destroy(), Math.max(0, startedAt + exchange.timeoutMilliseconds - options.now()) + remainingBodyMarginMilliseconds)
        response.once('close', () => {
          clearTimeout(expiry)
          // The connection is not reused. The check for a reset needs it until its result is known.
          isComplete().finally(close).catch(() => {})
        })
        settle({ outcome: ExchangeOutcome.Responded, received: { ...createReceived(), rest: { stream: response, isComplete, discard: () => response.destroy() } } }, true)
      }
      const largeBodyHandlers: Record<LargeBody, () => void> = {
        [LargeBody.Refuse]: () => settle({ outcome: ExchangeOutcome.TooLarge, reason: `response body exceeds ${exchange.acceptedBodyBytes} bytes` }, false),
        [LargeBody.Stream]: () => {
          response.pause()
          // A response that ends with these bytes is complete. Its end is emitted before its receiver could listen for it.
          setImmediate(() => { if (!response.readableEnded) settleWithRest() })
        }
      }
      const bufferChunk = (chunk: Buffer): void => {
        chunks.push(chunk)
        bytes += chunk.length
        if (bytes <= exchange.acceptedBodyBytes && exchange.takeBytes?.(chunk.length) !== false) return
        response.off('data', bufferChunk)
        largeBodyHandlers[exchange.largeBody]()
      }
      response.on('data', bufferChunk)
      response.on('error', fail)
      response.on('aborted', () => fail(new Error('response ended prematurely')))
      response.on('end', () => {
        if (settled) return
        if (!response.complete) {
          fail(new Error('response ended prematurely'))
          return
        }
        const reusable = request.shouldKeepAlive && response.headers.connection?.toLowerCase() !== 'close' && request.writableFinished
        if (!reusable) {
          isComplete().then(complete => {
            if (complete) settle(createResult(), false)
            else fail(new Error('connection was reset during a response without a content length'))
          }, fail)
          return
        }
        // Further bytes that are read within this turn already belong to no request.
        busy = false
        // The agent puts the socket back into its pool within this turn of the event loop.
        setImmediate(() => {
          releaseConnection()
          settle(createResult(), true)
        })
      })
    })
    exchange.onStarted?.(() => fail(new Error(cancelledReason)))
    request.end(exchange.body)
  })

  const releaseConnection = (): void => {
    if (currentSocket?.destroyed !== false || currentSocket.readableLength > 0) close()
    else if (!closed) options.onIdle(connection)
  }

  const connection: ServerConnection = { runExchange, wasUsed: () => currentSocket !== undefined, isOpenSince: time => connectedAt < time && currentSocket?.destroyed === false, close }
  return connection
}
