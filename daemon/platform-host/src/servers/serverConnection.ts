// One kept connection to a server and the exchanges on it. The connection carries one exchange at a time
// and is used again only after a whole answer of the right request, with nothing behind it.
import { Agent, request as startRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { setTimeoutAfterInput } from '@siskinbeam/processes/setTimeoutAfterInput'
import { splitAddress } from '@siskinbeam/settings/splitAddress'
import { isWholeAnswer, watchStreamEnd } from '@siskinbeam/stream-end/watchStreamEnd'

export interface ServerExchange {
  method: string
  path: string
  /** Names and values by turns, as Node gives raw headers. */
  headers: string[]
  body: Buffer | undefined
  timeoutMilliseconds: number
  /** Whether an answer belongs to this exchange. A connection with another one is closed. */
  isMatchingResponse: (status: number, headers: IncomingHttpHeaders) => boolean
  /** Called once the exchange has started, with a function that ends it. */
  onStarted?: (cancel: () => void) => void
}

export interface ReceivedResponse {
  status: number
  headers: IncomingHttpHeaders
  rawHeaders: string[]
  body: Buffer
  /** The rest of an answer that is too large to be kept whole. */
  rest: IncomingMessage | undefined
}

export enum ExchangeOutcome {
  Answered = 'answered',
  /** No byte of the request reached the server. */
  NotSent = 'not-sent',
  /** The connection broke, or what came was no whole answer to this request. */
  Broken = 'broken',
  TimedOut = 'timed-out',
  Cancelled = 'cancelled'
}

export type ExchangeResult =
  | { outcome: ExchangeOutcome.Answered, answer: ReceivedResponse }
  | { outcome: Exclude<ExchangeOutcome, ExchangeOutcome.Answered>, reason: string }

export interface ServerConnection {
  exchange: (exchange: ServerExchange) => Promise<ExchangeResult>
  close: () => void
}

export interface CreateServerConnectionOptions {
  address: string
  /** Called when the connection has carried an exchange and can carry another. */
  onIdle: (connection: ServerConnection) => void
  onClosed: (connection: ServerConnection) => void
  /** Called for each new connection. */
  onOpened: () => void
}

/** Answers up to this size are kept until they are whole, so that a broken one can be asked for again. */
const maximumBufferedBytes = 262_144
const timedOutReason = 'timed out'
const cancelledReason = 'cancelled'

/** Creates a connection; it is opened by its first exchange. */
export function createServerConnection (options: CreateServerConnectionOptions): ServerConnection {
  const agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 })
  const { host, port } = splitAddress(options.address)
  let currentSocket: Socket | undefined
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
    // A second socket means that the first one closed while it was idle.
    currentSocket = socket
    options.onOpened()
    socket.on('close', close)
    socket.on('data', () => { if (!busy) close() })
    watchStreamEnd(socket)
  }

  const exchange = (exchange: ServerExchange): Promise<ExchangeResult> => new Promise(resolve => {
    busy = true
    let connected = false
    let settled = false
    const settle = (result: ExchangeResult, reusable: boolean): void => {
      if (settled) return
      settled = true
      clearTimeout(timer)
      if (!reusable) {
        request.destroy()
        close()
      }
      resolve(result)
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
    const timer = setTimeoutAfterInput(() => fail(new Error(timedOutReason)), exchange.timeoutMilliseconds)
    request.once('socket', socket => {
      trackSocket(socket)
      if (!socket.connecting) connected = true
      else socket.once('connect', () => { connected = true })
    })
    request.on('error', fail)
    request.once('response', response => {
      const status = response.statusCode ?? 0
      if (!exchange.isMatchingResponse(status, response.headers)) {
        fail(new Error('the answer belongs to another request'))
        return
      }
      const chunks: Buffer[] = []
      let bytes = 0
      const createResult = (rest: IncomingMessage | undefined): ExchangeResult => ({
        outcome: ExchangeOutcome.Answered,
        answer: { status, headers: response.headers, rawHeaders: response.rawHeaders, body: Buffer.concat(chunks), rest }
      })
      const bufferChunk = (chunk: Buffer): void => {
        chunks.push(chunk)
        bytes += chunk.length
        if (bytes <= maximumBufferedBytes) return
        response.off('data', bufferChunk)
        response.pause()
        // The rest goes to the guest as it comes; the connection is not used again.
        closed = true
        options.onClosed(connection)
        settle(createResult(response), true)
      }
      response.on('data', bufferChunk)
      response.on('error', fail)
      response.on('aborted', () => fail(new Error('the answer ended early')))
      response.on('end', () => {
        if (!response.complete) {
          fail(new Error('the answer ended early'))
          return
        }
        const reusable = request.shouldKeepAlive && response.headers.connection?.toLowerCase() !== 'close' && request.writableFinished
        if (!reusable) {
          isWholeAnswer(response, currentSocket as Socket).then(whole => {
            if (whole) settle(createResult(undefined), false)
            else fail(new Error('the connection of an answer without a length was reset'))
          }, fail)
          return
        }
        // The agent takes the socket back within this turn.
        setImmediate(() => {
          releaseConnection()
          settle(createResult(undefined), true)
        })
      })
    })
    exchange.onStarted?.(() => fail(new Error(cancelledReason)))
    request.end(exchange.body)
  })

  const releaseConnection = (): void => {
    busy = false
    if (currentSocket?.destroyed !== false || currentSocket.readableLength > 0) close()
    else if (!closed) options.onIdle(connection)
  }

  const connection: ServerConnection = { exchange, close }
  return connection
}
