// Answers what guests ask of the entry host itself. These paths are served also without a bundle.
import { randomUUID } from 'node:crypto'
import type { EntryHost } from '../entryHost.js'
import { finishExchange, type Exchange, type Filter } from './exchange.js'
import { isRequestId } from './identifyRequest.js'

const ownPrefix = '/.siskinbeam/'

interface OwnAnswer {
  status: number
  body: Record<string, unknown>
}

const ownPaths: Record<string, (host: EntryHost, exchange: Exchange) => OwnAnswer> = {
  '/.siskinbeam/addresses': (host, { request }) => {
    const dataCentre = request.headers['siskinbeam-data-centre']
    const list = host.listAddresses(typeof dataCentre === 'string' ? dataCentre : undefined)
    return { status: 200, body: { ...list, bundleVersion: host.activeBundle()?.bundle.version ?? null } }
  },
  '/.siskinbeam/ready': host => {
    const isReady = host.mayServe() && !host.leaving()
    return { status: isReady ? 200 : 503, body: { ready: isReady, leaving: host.leaving(), bundleVersion: host.activeBundle()?.bundle.version ?? null } }
  }
}

/** The filter that answers own paths and passes on all others. */
export const answerOwnPaths: Filter = (exchange, next) => {
  if (!exchange.path.startsWith(ownPrefix)) return next()
  const { host, request, response } = exchange
  const { status, body } = ownPaths[exchange.path]?.(host, exchange) ?? { status: 404, body: { message: 'unknown path' } }
  const text = JSON.stringify(body)
  const stated = request.headers['siskinbeam-request-id']
  const requestId = typeof stated === 'string' && isRequestId(stated) ? stated : randomUUID()
  request.resume()
  response.writeHead(status, { 'siskinbeam-request-id': requestId, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'cache-control': 'no-store' })
  response.end(text)
  finishExchange(exchange)
}
