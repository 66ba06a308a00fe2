// Passes a server's answer on to the guest as the server gave it: status, headers, whole body. An answer
// that ends early at the server ends early at the guest.
import type { ServerAnswer } from '../servers/serverConnection.js'
import { selectEndToEndHeaders } from './endToEndHeaders.js'
import type { GuestExchange } from './guestExchange.js'

const lengthHeader = new Set(['content-length'])
const keepAll = new Set<string>()
const statusesWithoutBody = new Set([204, 304])

/** Ends an exchange with the answer of a server. */
export function relayAnswer (exchange: GuestExchange, answer: ServerAnswer, server: string): void {
  const { response, host } = exchange
  if (exchange.finished) {
    answer.rest?.destroy()
    return
  }
  exchange.finished = true
  const milliseconds = host.now() - exchange.receivedAt
  host.metrics.count(`answers_total{status="${answer.status}"}`)
  host.metrics.recordMilliseconds('request', milliseconds)
  host.logger.info('request answered', {
    request: exchange.requestId,
    route: exchange.route?.name,
    service: exchange.service,
    server,
    status: answer.status,
    bytes: answer.rest === undefined ? answer.body.length : undefined,
    sends: exchange.sends,
    ...exchange.decision,
    milliseconds: Math.round(milliseconds),
    configuration: host.routes()?.configuration.version
  })
  const bodyless = exchange.request.method === 'HEAD' || statusesWithoutBody.has(answer.status)
  const whole = answer.rest === undefined && !bodyless
  const headers = selectEndToEndHeaders(answer.rawHeaders, whole ? lengthHeader : keepAll)
  response.writeHead(answer.status, [
    ...headers,
    ...(whole ? ['Content-Length', String(answer.body.length)] : []),
    ...(host.leaving() ? ['Connection', 'close'] : [])
  ])
  if (answer.rest === undefined) {
    response.end(bodyless ? undefined : answer.body)
    return
  }
  response.write(answer.body)
  const { rest } = answer
  rest.on('error', () => response.destroy())
  rest.on('aborted', () => response.destroy())
  response.on('close', () => rest.destroy())
  rest.pipe(response)
}
