// Forwards a server's response to the guest with its status, end-to-end headers and body unchanged. If the server cuts
// a streamed response off, the guest's connection is closed as well, so that it does not look complete.
import type { ReceivedResponse } from '../servers/serverConnection.js'
import { selectEndToEndHeaders } from './endToEndHeaders.js'
import type { GuestExchange } from './guestExchange.js'

const lengthHeader = new Set(['content-length'])
const noHeaders = new Set<string>()
const statusesWithoutBody = new Set([204, 304])

/** Ends an exchange with the response of a server, given by its ID. */
export function relayResponse (exchange: GuestExchange, received: ReceivedResponse, server: string): void {
  const { response, host } = exchange
  if (exchange.finished) {
    received.rest?.destroy()
    return
  }
  exchange.finished = true
  const milliseconds = host.now() - exchange.receivedAt
  host.metrics.count(`answers_total{status="${received.status}"}`)
  host.metrics.recordMilliseconds('request', milliseconds)
  host.logger.info('request answered', {
    request: exchange.requestId,
    route: exchange.route?.name,
    service: exchange.service,
    server,
    status: received.status,
    bytes: received.rest === undefined ? received.body.length : undefined,
    sends: exchange.sends,
    ...exchange.choiceLogFields,
    milliseconds: Math.round(milliseconds),
    configuration: host.routes()?.configuration.version
  })
  const hasNoBody = exchange.request.method === 'HEAD' || statusesWithoutBody.has(received.status)
  const isComplete = received.rest === undefined && !hasNoBody
  const headers = selectEndToEndHeaders(received.rawHeaders, isComplete ? lengthHeader : noHeaders)
  response.writeHead(received.status, [
    ...headers,
    ...(isComplete ? ['Content-Length', String(received.body.length)] : []),
    ...(host.isShuttingDown() ? ['Connection', 'close'] : [])
  ])
  if (received.rest === undefined) {
    response.end(hasNoBody ? undefined : received.body)
    return
  }
  response.write(received.body)
  const { rest } = received
  rest.on('error', () => response.destroy())
  rest.on('aborted', () => response.destroy())
  response.on('close', () => rest.destroy())
  rest.pipe(response)
}
