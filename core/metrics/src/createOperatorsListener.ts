// Metrics and the state dump over plain HTTP for operators' tools. Each request needs the operator key, if there is one.
import { createServer, type IncomingMessage, type Server } from 'node:http'

export interface CreateOperatorsListenerOptions {
  /** Whether a request has the operator key; undefined where the network admits operators only. */
  isAuthorized?: ((request: IncomingMessage) => boolean) | undefined
  renderMetrics: () => string
  dump: () => string
}

const maximumConnections = 32

/** Creates the listener; the caller binds it. */
export function createOperatorsListener ({ isAuthorized = () => true, renderMetrics, dump }: CreateOperatorsListenerOptions): Server {
  const pages: Record<string, { type: string, render: () => string }> = {
    '/metrics': { type: 'text/plain; version=0.0.4', render: renderMetrics },
    '/dump': { type: 'application/json', render: dump }
  }
  const server = createServer({ headersTimeout: 5_000, requestTimeout: 5_000 }, (request, response) => {
    request.resume()
    response.on('error', () => {})
    if (!isAuthorized(request)) {
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
