// The HTTP server of the stand-ins. Handlers receive buffered request bodies and return JSON or bytes.
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { bindListener } from '@siskinbeam/listeners/bindListener'

/** A reply. A Uint8Array body is sent unchanged, any other body as JSON. */
export interface Reply {
  status: number
  body?: unknown
  headers?: Record<string, string>
}

/** A request with its buffered body. `path` does not include the query. */
export interface ReceivedRequest {
  method: string
  path: string
  query: URLSearchParams
  headers: IncomingMessage['headers']
  body: Buffer
}

/** Returns the reply, or undefined to close the connection without a response. */
export type RequestHandler = (request: ReceivedRequest) => Promise<Reply | undefined> | Reply | undefined

export interface ServeHttpOptions {
  /** With port 0, the operating system assigns a free port. */
  address: string
  maximumBodyBytes: number
  handle: RequestHandler
}

/** A listening server. `address` has the port that was assigned. */
export interface HttpListener {
  address: string
  closeConnections: () => void
  close: () => Promise<void>
}

const keepAliveTimeoutMilliseconds = 60_000

/** Starts an HTTP server. Throws if the address cannot be bound. */
export async function serveHttp ({ address, maximumBodyBytes, handle }: ServeHttpOptions): Promise<HttpListener> {
  const server = createServer((request, response) => {
    handleRequest(request, response, maximumBodyBytes, handle).catch(() => request.socket.destroy())
  })
  server.keepAliveTimeout = keepAliveTimeoutMilliseconds
  const bound = await bindListener(server, address)
  return {
    address: bound,
    closeConnections: () => server.closeAllConnections(),
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

async function handleRequest (request: IncomingMessage, response: ServerResponse, maximumBodyBytes: number, handle: RequestHandler): Promise<void> {
  const body = await readBody(request, maximumBodyBytes)
  const url = new URL(request.url ?? '/', 'http://localhost')
  const reply: Reply | undefined = body === undefined
    ? { status: 413, body: { message: `the body exceeds ${maximumBodyBytes} bytes` } }
    : await handle({ method: request.method ?? 'GET', path: url.pathname, query: url.searchParams, headers: request.headers, body })
  if (reply === undefined) {
    request.socket.destroy()
    return
  }
  const isBytes = reply.body instanceof Uint8Array
  const content = isBytes ? reply.body as Uint8Array : JSON.stringify(reply.body ?? {})
  response.writeHead(reply.status, { ...reply.headers, 'content-type': isBytes ? 'application/octet-stream' : 'application/json', 'content-length': Buffer.byteLength(content) })
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

/** Parses a body as JSON; returns undefined if it is invalid. */
export function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    return undefined
  }
}
