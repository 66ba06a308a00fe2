// Headers between the two sides. Hop-by-hop headers stay on their hop; those that siskinbeam reads
// are replaced by what the next hop needs.
import type { IncomingMessage } from 'node:http'
import type { Exchange } from './exchange.js'

const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])
const serverSideHeaders = new Set(['endpoint-load-metrics', 'server-boot', 'server-state', 'not-started', 'siskinbeam-request-id', 'siskinbeam-account', 'siskinbeam-replayed'])

const listConnectionHeaders = (value: string | undefined): Set<string> =>
  new Set((value ?? '').toLowerCase().split(',').map(name => name.trim()).filter(name => name !== ''))

/** Headers of a request as they go to a server. `now` is monotonic, `epochNow` the wall clock. */
export function makeServerHeaders (exchange: Exchange, now: number, epochNow: number, retries: boolean): Record<string, string | string[]> {
  const { request, body } = exchange
  const listed = listConnectionHeaders(request.headers.connection)
  const kept = Object.entries(request.headers).filter(([name, value]) =>
    value !== undefined && !hopByHopHeaders.has(name) && !listed.has(name) && !name.startsWith('siskinbeam-')) as Array<[string, string | string[]]>
  const remaining = Math.max(0, exchange.deadlineAt - now)
  const forwardedFor = request.headers['x-forwarded-for']
  const guestAddress = request.socket.remoteAddress ?? ''
  return {
    ...Object.fromEntries(kept),
    ...(body !== null && body.length > 0 ? { 'content-length': String(body.length) } : {}),
    // Node frames the body of a GET only if told to; without framing the server takes it for more requests.
    ...(body === null && !kept.some(([name]) => name === 'content-length') ? { 'transfer-encoding': 'chunked' } : {}),
    'x-forwarded-for': forwardedFor === undefined ? guestAddress : `${String(forwardedFor)}, ${guestAddress}`,
    'siskinbeam-request-id': exchange.requestId,
    'siskinbeam-deadline': String(Math.floor(remaining)),
    'siskinbeam-deadline-at': String(Math.floor(epochNow + remaining)),
    'siskinbeam-depth': String(exchange.depth + 1),
    ...(retries || exchange.retriedAbove ? { 'siskinbeam-retried': '1' } : {})
  }
}

/** Headers of an answer as they go to the guest, as the flat list of names and values that writeHead takes. */
export function makeGuestHeaders (exchange: Exchange, answer: IncomingMessage): string[] {
  const listed = listConnectionHeaders(answer.headers.connection)
  const { rawHeaders } = answer
  const kept = rawHeaders.flatMap((name, position) => {
    if (position % 2 === 1) return []
    const lowered = name.toLowerCase()
    return hopByHopHeaders.has(lowered) || listed.has(lowered) || serverSideHeaders.has(lowered) ? [] : [name, rawHeaders[position + 1] as string]
  })
  kept.push('siskinbeam-request-id', exchange.requestId)
  // The rest of a body that came too late for the answer is not read.
  if (exchange.host.leaving() || !exchange.request.complete) kept.push('connection', 'close')
  return kept
}
