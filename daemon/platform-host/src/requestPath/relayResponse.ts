// Forwards a server's response to the guest with its status, end-to-end headers and body unchanged. If a streamed
// response is cut off or lasts beyond the deadline, the guest's connection is reset, so that it does not look complete.
import { setTimeoutAfterPoll } from '@siskinbeam/processes/setTimeoutAfterPoll'
import { formatServerOfResponse, forwardingHeaders } from '../peerForwarding/forwardingHeaders.js'
import type { ReceivedResponse, RemainingBody } from '../servers/serverConnection.js'
import { selectEndToEndHeaders } from './endToEndHeaders.js'
import type { GuestExchange } from './guestExchange.js'

const droppedHeaders = forwardingHeaders
const droppedWithLength = new Set([...forwardingHeaders, 'content-length'])
const statusesWithoutBody = new Set([204, 304])

export interface RespondingServer {
  id: string
  /** Key of its start; undefined if another host sent the request to the server. */
  startKey?: string
}

/** Ends an exchange with the response of a server. */
export function relayResponse (exchange: GuestExchange, received: ReceivedResponse, { id: server, startKey }: RespondingServer): void {
  const { response, host } = exchange
  if (exchange.finished) {
    received.rest?.discard()
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
    forwardedFrom: exchange.forwarded?.from,
    ...exchange.choiceLogFields,
    milliseconds: Math.round(milliseconds),
    configuration: host.routes()?.configuration.version
  })
  const hasNoBody = exchange.request.method === 'HEAD' || statusesWithoutBody.has(received.status)
  const isComplete = received.rest === undefined && !hasNoBody
  const headers = selectEndToEndHeaders(received.rawHeaders, isComplete ? droppedWithLength : droppedHeaders)
  response.writeHead(received.status, [
    ...headers,
    ...(exchange.forwarded === undefined || startKey === undefined ? [] : formatServerOfResponse(startKey)),
    ...(isComplete ? ['Content-Length', String(received.body.length)] : []),
    // Further requests may arrive while a response is streamed. Its connection is closed once it is idle.
    ...(received.rest === undefined && exchange.closesConnection() ? ['Connection', 'close'] : [])
  ])
  if (received.rest === undefined) {
    response.end(hasNoBody ? undefined : received.body)
    return
  }
  response.write(received.body)
  streamRest(exchange, received.rest)
}

function streamRest ({ response, requestId, host, deadlineAt }: GuestExchange, rest: RemainingBody): void {
  const breakOff = (reason: string): void => {
    if (response.destroyed) return
    host.metrics.count('answers_broken_off_total')
    host.logger.warn('answer broken off', { request: requestId, reason })
    // A guest that reads until the connection closes would take a regular close for the end of the response.
    response.socket?.resetAndDestroy()
  }
  const timer = setTimeoutAfterPoll(() => breakOff('deadline exceeded'), Math.max(0, deadlineAt - host.now()))
  response.on('close', () => {
    clearTimeout(timer)
    rest.discard()
  })
  rest.stream.on('error', error => breakOff(error.message))
  rest.stream.on('aborted', () => breakOff('response ended prematurely'))
  const endResponse = (): void => {
    rest.isComplete().then(complete => {
      if (complete) response.end()
      else breakOff('connection was reset during a response without a content length')
    }, (error: unknown) => breakOff(String(error)))
  }
  if (rest.stream.readableEnded) {
    endResponse()
    return
  }
  rest.stream.on('end', endResponse)
  rest.stream.pipe(response, { end: false })
}
