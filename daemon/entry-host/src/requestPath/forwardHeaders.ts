// Builds the headers that are forwarded between guests and servers. Hop-by-hop headers are removed, and headers that
// siskinbeam reads are replaced by the values for the next hop.
import type { IncomingMessage } from 'node:http'
import { closesConnection, type Exchange } from './exchange.js'

const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])
const internalResponseHeaders = new Set(['endpoint-load-metrics', 'server-boot', 'server-state', 'server-pause', 'not-started', 'siskinbeam-request-id', 'siskinbeam-account', 'siskinbeam-replayed'])

const parseConnectionOptions = (value: string | undefined): Set<string> =>
  new Set((value ?? '').toLowerCase().split(',').map(name => name.trim()).filter(name => name !== ''))

/** Builds the headers of a request to a server. `now` is in monotonic milliseconds, `epochNow` in epoch milliseconds. */
export function buildServerHeaders (exchange: Exchange, now: number, epochNow: number, mayRetry: boolean): Record<string, string | string[]> {
  const { request, body } = exchange
  const connectionOptions = parseConnectionOptions(request.headers.connection)
  const forwarded = Object.entries(request.headers).filter(([name, value]) =>
    value !== undefined && !hopByHopHeaders.has(name) && !connectionOptions.has(name) && !name.startsWith('siskinbeam-')) as Array<[string, string | string[]]>
  const remaining = Math.max(0, exchange.deadlineAt - now)
  const forwardedFor = request.headers['x-forwarded-for']
  const guestAddress = request.socket.remoteAddress ?? ''
  return {
    ...Object.fromEntries(forwarded),
    ...(body !== null && body.length > 0 ? { 'content-length': String(body.length) } : {}),
    // Node sends no framing for the body of a GET unless a header requests it. Without framing, the server would parse
    // the body as further requests.
    ...(body === null && !forwarded.some(([name]) => name === 'content-length') ? { 'transfer-encoding': 'chunked' } : {}),
    'x-forwarded-for': forwardedFor === undefined ? guestAddress : `${String(forwardedFor)}, ${guestAddress}`,
    'siskinbeam-request-id': exchange.requestId,
    'siskinbeam-deadline': String(Math.floor(remaining)),
    'siskinbeam-deadline-at': String(Math.floor(epochNow + remaining)),
    'siskinbeam-depth': String(exchange.depth + 1),
    ...(mayRetry || exchange.retriedByCaller ? { 'siskinbeam-retried': '1' } : {})
  }
}

/** Builds the headers of a response to a guest, as the flat list of names and values that writeHead accepts. */
export function buildGuestHeaders (exchange: Exchange, serverResponse: IncomingMessage): string[] {
  const connectionOptions = parseConnectionOptions(serverResponse.headers.connection)
  const { rawHeaders } = serverResponse
  const forwarded = rawHeaders.flatMap((name, position) => {
    if (position % 2 === 1) return []
    const lowered = name.toLowerCase()
    return hopByHopHeaders.has(lowered) || connectionOptions.has(lowered) || internalResponseHeaders.has(lowered) ? [] : [name, rawHeaders[position + 1] as string]
  })
  forwarded.push('siskinbeam-request-id', exchange.requestId)
  if (closesConnection(exchange)) forwarded.push('connection', 'close')
  return forwarded
}
