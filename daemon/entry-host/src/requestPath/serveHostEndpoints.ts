// Serves the endpoints of the entry host itself. They are also available without an active bundle.
import { randomUUID } from 'node:crypto'
import type { EntryHost } from '../entryHost.js'
import { finishExchange, type Exchange, type Filter } from './exchange.js'
import { isRequestId } from './identifyRequest.js'

const endpointPrefix = '/.siskinbeam/'

interface EndpointResponse {
  status: number
  body: Record<string, unknown>
}

const hostEndpoints: Record<string, (host: EntryHost, exchange: Exchange) => EndpointResponse> = {
  '/.siskinbeam/addresses': (host, { request }) => {
    const dataCentre = request.headers['siskinbeam-data-centre']
    const list = host.listAddresses(typeof dataCentre === 'string' ? dataCentre : undefined)
    return { status: 200, body: { ...list, bundleVersion: host.activeBundle()?.bundle.version ?? null } }
  },
  '/.siskinbeam/ready': host => {
    const isReady = host.mayServe() && !host.isLeaving()
    return { status: isReady ? 200 : 503, body: { ready: isReady, leaving: host.isLeaving(), bundleVersion: host.activeBundle()?.bundle.version ?? null } }
  }
}

/** The filter that serves the host's own endpoints and passes on all other requests. */
export const serveHostEndpoints: Filter = (exchange, next) => {
  if (!exchange.path.startsWith(endpointPrefix)) return next()
  const { host, request, response } = exchange
  const { status, body } = hostEndpoints[exchange.path]?.(host, exchange) ?? { status: 404, body: { message: 'unknown path' } }
  const text = JSON.stringify(body)
  const givenRequestId = request.headers['siskinbeam-request-id']
  const requestId = typeof givenRequestId === 'string' && isRequestId(givenRequestId) ? givenRequestId : randomUUID()
  request.resume()
  response.writeHead(status, { 'siskinbeam-request-id': requestId, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'cache-control': 'no-store' })
  response.end(text)
  finishExchange(exchange)
}
