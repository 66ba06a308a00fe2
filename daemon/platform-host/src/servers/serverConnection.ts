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
  isOwnAnswer: (status: number, headers: IncomingHttpHeaders) => boolean
  /** Called once the exchange has started, with a function that ends it. */
  onStarted?: (cancel: () => void) => void
}

export interface ServerAnswer {
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
  | { outcome: ExchangeOutcome.Answered, answer: ServerAnswer }
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
const wholeAnswerBytes = 262_144
const timedOutReason = 'timed out'
const cancelledReason = 'cancelled'

/** Creates a connection; it is opened by its first exchange. */
export function createServerConnection (options: CreateServerConnectionOptions): ServerConnection {
  const agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 })
  const { host, port } = splitAddress(options.address)
  let watched: Socket | undefined
  let busy = false
  let closed = false

  const close = (): void => {
    if (closed) return
    closed = true
    agent.destroy()
    options.onClosed(connection)
  }

  const watch = (socket: Socket): void => {
    if (socket === watched) return
    // A second socket means that the first one closed while it was idle.
    watched = socket
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
    const failWith = (error: Error): void => {
      const outcome = error.message === timedOutReason
        ? ExchangeOutcome.TimedOut
        : error.message === cancelledReason ? ExchangeOutcome.Cancelled : connected ? ExchangeOutcome.Broken : ExchangeOutcome.NotSent
      settle({ outcome, reason: error.message }, false)
    }
    const request = startRequest({
      agent, host, port, method: exchange.method, path: exchange.path, headers: exchange.headers as never, setHost: false
    })
    const timer = setTimeoutAfterInput(() => failWith(new Error(timedOutReason)), exchange.timeoutMilliseconds)
    request.once('socket', socket => {
      watch(socket)
      if (!socket.connecting) connected = true
      else socket.once('connect', () => { connected = true })
    })
    request.on('error', failWith)
    request.once('response', response => {
      const status = response.statusCode ?? 0
      if (!exchange.isOwnAnswer(status, response.headers)) {
        failWith(new Error('the answer belongs to another request'))
        return
      }
      const chunks: Buffer[] = []
      let bytes = 0
      const answerWith = (rest: IncomingMessage | undefined): ExchangeResult => ({
        outcome: ExchangeOutcome.Answered,
        answer: { status, headers: response.headers, rawHeaders: response.rawHeaders, body: Buffer.concat(chunks), rest }
      })
      const collect = (chunk: Buffer): void => {
        chunks.push(chunk)
        bytes += chunk.length
        if (bytes <= wholeAnswerBytes) return
        response.off('data', collect)
        response.pause()
        // The rest goes to the guest as it comes; the connection is not used again.
        closed = true
        options.onClosed(connection)
        settle(answerWith(response), true)
      }
      response.on('data', collect)
      response.on('error', failWith)
      response.on('aborted', () => failWith(new Error('the answer ended early')))
      response.on('end', () => {
        if (!response.complete) {
          failWith(new Error('the answer ended early'))
          return
        }
        const reusable = request.shouldKeepAlive && response.headers.connection?.toLowerCase() !== 'close' && request.writableFinished
        if (!reusable) {
          isWholeAnswer(response, watched as Socket).then(whole => {
            if (whole) settle(answerWith(undefined), false)
            else failWith(new Error('the connection of an answer without a length was reset'))
          }, failWith)
          return
        }
        // The agent takes the socket back within this turn.
        setImmediate(() => {
          becomeIdle()
          settle(answerWith(undefined), true)
        })
      })
    })
    exchange.onStarted?.(() => failWith(new Error(cancelledReason)))
    request.end(exchange.body)
  })

  const becomeIdle = (): void => {
    busy = false
    if (watched?.destroyed !== false || watched.readableLength > 0) close()
    else if (!closed) options.onIdle(connection)
  }

  const connection: ServerConnection = { exchange, close }
  return connection
}
