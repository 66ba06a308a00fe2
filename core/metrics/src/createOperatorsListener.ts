// Metrics and the state dump over plain HTTP for operators' tools. Each request needs the operator key, if there is one.
import { createServer, type Server } from 'node:http'
import { createHash, timingSafeEqual } from 'node:crypto'

export interface CreateOperatorsListenerOptions {
  /** Undefined where the network admits operators only. */
  operatorKey: string | undefined
  renderMetrics: () => string
  dump: () => string
}

const maximumConnections = 32

const digest = (text: string): Buffer => createHash('sha256').update(text).digest()

/** Creates the listener; the caller binds it. */
export function createOperatorsListener ({ operatorKey, renderMetrics, dump }: CreateOperatorsListenerOptions): Server {
  const expected = operatorKey === undefined ? undefined : digest(`Bearer ${operatorKey}`)
  const pages: Record<string, { type: string, render: () => string }> = {
    '/metrics': { type: 'text/plain; version=0.0.4', render: renderMetrics },
    '/dump': { type: 'application/json', render: dump }
  }
  const server = createServer({ headersTimeout: 5_000, requestTimeout: 5_000 }, (request, response) => {
    request.resume()
    response.on('error', () => {})
    if (expected !== undefined && !timingSafeEqual(digest(request.headers.authorization ?? ''), expected)) {
      response.writeHead(401, { 'content-type': 'text/plain' }).end('the operator key is missing or wrong\n')
      return
    }
    const page = request.method === 'GET' ? pages[request.url ?? ''] : undefined
    if (page === undefined) response.writeHead(404, { 'content-type': 'text/plain' }).end('unknown path\n')
    else response.writeHead(200, { 'content-type': page.type }).end(page.render())
  })
  server.maxConnections = maximumConnections
  server.on('clientError', (_error, socket) => socket.destroy())
  return server
}
