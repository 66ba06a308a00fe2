// The HTTP listener that the stand-ins share: whole request bodies in, JSON or bytes out.
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { bindListener } from '@siskinbeam/listeners/bindListener'

/** A reply; a body of bytes is sent as it is, anything else as JSON. */
export interface Reply {
  status: number
  body?: unknown
}

/** A request with its whole body. `path` has no query. */
export interface ReceivedRequest {
  method: string
  path: string
  query: URLSearchParams
  headers: IncomingMessage['headers']
  body: Buffer
}

/** Gives the reply, or undefined to close the connection without one. */
export type HandleRequest = (request: ReceivedRequest) => Promise<Reply | undefined> | Reply | undefined

export interface ServeHttpOptions {
  /** Port 0 lets the system choose one. */
  address: string
  maximumBodyBytes: number
  handle: HandleRequest
}

/** A listener with the address that it got. */
export interface HttpListener {
  address: string
  close: () => Promise<void>
}

const idleConnectionMilliseconds = 60_000

/** Starts a listener. */
export async function serveHttp ({ address, maximumBodyBytes, handle }: ServeHttpOptions): Promise<HttpListener> {
  const server = createServer((request, response) => {
    answerRequest(request, response, maximumBodyBytes, handle).catch(() => request.socket.destroy())
  })
  server.keepAliveTimeout = idleConnectionMilliseconds
  const bound = await bindListener(server, address)
  return {
    address: bound,
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

async function answerRequest (request: IncomingMessage, response: ServerResponse, maximumBodyBytes: number, handle: HandleRequest): Promise<void> {
  const body = await readBody(request, maximumBodyBytes)
  const url = new URL(request.url ?? '/', 'http://localhost')
  const reply = body === undefined
    ? { status: 413, body: { message: `the body exceeds ${maximumBodyBytes} bytes` } }
    : await handle({ method: request.method ?? 'GET', path: url.pathname, query: url.searchParams, headers: request.headers, body })
  if (reply === undefined) {
    request.socket.destroy()
    return
  }
  const isBytes = reply.body instanceof Uint8Array
  const content = isBytes ? reply.body as Uint8Array : JSON.stringify(reply.body ?? {})
  response.writeHead(reply.status, { 'content-type': isBytes ? 'application/octet-stream' : 'application/json', 'content-length': Buffer.byteLength(content) })
  response.end(content)
}

async function readBody (request: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request) {
    bytes += chunk.length
    if (bytes <= maximumBytes) chunks.push(chunk)
  }
  return bytes > maximumBytes ? undefined : Buffer.concat(chunks)
}

/** Reads a body as JSON, undefined if it is not valid. */
export function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    return undefined
  }
}
