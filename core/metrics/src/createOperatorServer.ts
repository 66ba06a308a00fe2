// Serves the metrics and the state dump over HTTP for operator tools. If an operator key is set, each request must have it.
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { guardServer } from '@siskinbeam/message-heads/guardServer'

export interface CreateOperatorServerOptions {
  /** Whether a request has the operator key; undefined if the network restricts access to operators. */
  isAuthorized?: ((request: IncomingMessage) => boolean) | undefined
  renderMetrics: () => string
  dump: () => string
}

interface Endpoint {
  type: string
  render: () => string
}

const maximumHeadBytes = 32_768
const maximumConnections = 32

/** Creates the listener; the caller must bind it. */
export function createOperatorServer ({ isAuthorized = () => true, renderMetrics, dump }: CreateOperatorServerOptions): Server {
  const endpoints: Record<string, Endpoint> = {
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
    const endpoint = request.method === 'GET' ? endpoints[request.url ?? ''] : undefined
    if (endpoint === undefined) response.writeHead(404, { 'content-type': 'text/plain' }).end('unknown path\n')
    else sendRendered(response, endpoint)
  })
  server.maxConnections = maximumConnections
  guardServer({ server, maximumHeadBytes })
  return server
}

/** Sends the text, or 500 with the reason if it cannot be rendered, such as while the host starts. */
function sendRendered (response: ServerResponse, { type, render }: Endpoint): void {
  try {
    const text = render()
    response.writeHead(200, { 'content-type': type }).end(text)
  } catch (error) {
    response.writeHead(500, { 'content-type': 'text/plain' }).end(`not available: ${String(error)}\n`)
  }
}
