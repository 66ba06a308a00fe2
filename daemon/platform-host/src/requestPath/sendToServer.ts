// Sends a request to one server and classifies the result by whether the request was run.
import { reservedRequestHeaders, readResponseMetadata, formatServerHeaders } from '@siskinbeam/platform-adapter/serverProtocol'
import { forwardingHeaders } from '../peerForwarding/forwardingHeaders.js'
import { fingerprintRequest } from '../crashes/fingerprintRequest.js'
import { ExchangeOutcome, type ReceivedResponse } from '../servers/serverConnection.js'
import { ConnectionAge } from '@siskinbeam/server-reach/serverReach'
import type { RegisteredServer } from '@siskinbeam/server-registry/serverRegistry'
import { ContactPurpose } from '../servers/limitedServers.js'
import type { ProbedServer } from '../servers/probeServers.js'
import type { OpenSend } from '../servers/serverDeaths.js'
import { recordSendOutcome, recordUnreachable } from '../servers/serverEndpoint.js'
import { selectEndToEndHeaders } from './endToEndHeaders.js'
import type { GuestExchange } from './guestExchange.js'
import { runGuestExchange, type StreamedResult } from './runGuestExchange.js'

/** Outcome of a send. */
export enum SendOutcome {
  /** A complete response that can be forwarded. */
  Responded = 'answered',
  /** A complete response that reports a server error. */
  Failed = 'failed',
  /** The server declared that it has not run the request and will not run it. */
  NotExecuted = 'not-executed',
  /** No byte of the request reached the server. */
  NotSent = 'not-sent',
  /** The request may have been run, but no complete and valid response arrived. */
  Broken = 'broken',
  TimedOut = 'timed-out',
  Cancelled = 'cancelled'
}

type OutcomeWithResponse = SendOutcome.Responded | SendOutcome.Failed

/** One member per outcome, so that a handler of an outcome gets the fields of its result. */
export type SendResult = {
  [Outcome in SendOutcome]: { outcome: Outcome } & (Outcome extends OutcomeWithResponse ? { received: ReceivedResponse } : { reason: string })
}[SendOutcome]

/** The server is given a deadline earlier by this margin, so that its own timeout response arrives in time. */
const deadlineMarginMilliseconds = 15
const droppedHeaders = new Set([...reservedRequestHeaders, ...forwardingHeaders, 'content-length'])
/** Statuses that guarantee "not run" to the guest. They are not forwarded unless the server declares that it did not run the request. */
const notRunStatuses = new Set([408, 421, 429, 503])
/** Node.js parses any status of three digits, but refuses to write one outside of the range of HTTP. */
const minimumFinalStatus = 200
const maximumStatus = 599
const minimumServerErrorStatus = 500

const outcomesWithoutResponse = {
  [ExchangeOutcome.NotSent]: SendOutcome.NotSent,
  [ExchangeOutcome.Broken]: SendOutcome.Broken,
  [ExchangeOutcome.TimedOut]: SendOutcome.TimedOut,
  [ExchangeOutcome.Cancelled]: SendOutcome.Cancelled
} as const

/** Sends the request on the connection on which the server was just probed, or on a new one. */
export async function sendToServer (exchange: GuestExchange, probed: ProbedServer): Promise<SendResult> {
  const { host, request } = exchange
  const { endpoint } = probed
  if (!endpoint.hasConnectionLeft(probed.connection)) {
    exchange.sends += 1
    host.metrics.count('sends_without_connection_total')
    return { outcome: SendOutcome.NotSent, reason: 'this host has all the connections to the server that it may have' }
  }
  const remainingMilliseconds = exchange.deadlineAt - host.now()
  const connection = probed.connection === undefined ? endpoint.openConnection() : endpoint.acquireConnection(probed.connection)
  const purpose = exchange.sends === 0 ? ContactPurpose.FirstSend : ContactPurpose.FurtherSend
  host.limitedServers.recordContact(endpoint.server, purpose)
  endpoint.inFlight += 1
  exchange.sends += 1
  const sentAt = host.now()
  const send = { request: exchange, sentAt }
  host.serverDeaths.recordStart(endpoint, send)
  const result = await runGuestExchange(exchange, {
    connection,
    headers: [
      ...selectEndToEndHeaders(request.rawHeaders, droppedHeaders),
      ...Object.entries(formatServerHeaders(endpoint.server.id, remainingMilliseconds - deadlineMarginMilliseconds)).flat()
    ],
    timeoutMilliseconds: remainingMilliseconds
  })
  endpoint.inFlight -= 1
  recordStatements(exchange, endpoint.server, purpose, result, sentAt)
  const sent = classify(result)
  recordSendEnd(exchange, probed, send, result)
  host.metrics.count(`sends_total{outcome="${sent.outcome}"}`)
  if (sent.outcome === SendOutcome.Responded) host.metrics.recordMilliseconds('server_answer', host.now() - sentAt)
  recordOutcome(exchange, probed, sent)
  return sent
}

const sendEndRecorders: Record<StreamedResult['outcome'], (exchange: GuestExchange, probed: ProbedServer, send: OpenSend) => void> = {
  [ExchangeOutcome.Responded]: ({ host }, { endpoint }, send) => host.serverDeaths.recordEnd(endpoint, send),
  [ExchangeOutcome.NotSent]: ({ host }, { endpoint }, send) => {
    host.serverDeaths.recordEnd(endpoint, send)
    host.serverDeaths.recordRefusal(endpoint)
  },
  [ExchangeOutcome.Broken]: (exchange, { endpoint }, send) => { exchange.deathCheck = exchange.host.serverDeaths.recordBreak(endpoint, send) },
  [ExchangeOutcome.TimedOut]: ({ host }, { endpoint }, send) => host.serverDeaths.recordTimeout(endpoint, send),
  // A full server refuses connections without having ended, so only its entry can tell.
  [ExchangeOutcome.Cancelled]: ({ host }, { endpoint, load }, send) => isFull(load) ? host.serverDeaths.recordTimeout(endpoint, send) : host.serverDeaths.recordCancel(endpoint, send)
}

/** Records whether the server ended during the send. A response that is streamed lasts until its end. */
function recordSendEnd (exchange: GuestExchange, probed: ProbedServer, send: OpenSend, result: StreamedResult): void {
  const { serverDeaths } = exchange.host
  const { endpoint } = probed
  const received = result.outcome === ExchangeOutcome.Responded ? result.received : undefined
  const { rest } = received ?? {}
  if (received !== undefined && rest !== undefined) {
    // The buffered part of the body must not be kept until the end of the stream.
    const { status, headers } = received
    rest.stream.once('aborted', () => { serverDeaths.recordBreak(endpoint, send).catch(() => {}) })
    rest.stream.once('end', () => recordCompletion(exchange, { status, headers }))
    rest.stream.once('close', () => serverDeaths.recordEnd(endpoint, send))
    return
  }
  sendEndRecorders[result.outcome](exchange, probed, send)
  if (received !== undefined) recordCompletion(exchange, received)
}

/** Records a complete response that shows that the request does not end its server, and tells the hosts that refuse the request. */
function recordCompletion (exchange: GuestExchange, { status, headers }: Pick<ReceivedResponse, 'status' | 'headers'>): void {
  const { signed, notExecuted } = readResponseMetadata(status, headers)
  // A server in trouble may fail a request before it reaches the part that ends other servers.
  if (!signed || notExecuted || status >= minimumServerErrorStatus) return
  const { crashes, crashRows } = exchange.host
  crashRows.share(crashes.recordResponse(exchange))
}

/** Records what the response says of the server. */
function recordStatements ({ host }: GuestExchange, server: RegisteredServer, purpose: ContactPurpose, result: StreamedResult, sentAt: number): void {
  if (result.outcome !== ExchangeOutcome.Responded) return
  const { status, headers } = result.received
  const { limit, signed, notices } = readResponseMetadata(status, headers)
  host.noticedServers.recordResponse(server, notices, purpose)
  host.limitedServers.recordResponse({ server, purpose, limit, sentAt, isConclusive: signed && status < 300 })
}

/** Classifies an exchange. A response that is not part of the result is discarded. */
function classify (result: StreamedResult): SendResult {
  if (result.outcome !== ExchangeOutcome.Responded) return { outcome: outcomesWithoutResponse[result.outcome], reason: result.reason }
  const { received } = result
  const rejection = findRejection(received)
  if (rejection === undefined) return { outcome: received.status >= minimumServerErrorStatus ? SendOutcome.Failed : SendOutcome.Responded, received }
  received.rest?.discard()
  return rejection
}

/** Returns why a response cannot be forwarded, or undefined if it can. */
function findRejection ({ status, headers }: ReceivedResponse): SendResult | undefined {
  const { notExecuted, signed } = readResponseMetadata(status, headers)
  if (notExecuted && status !== 400) return { outcome: SendOutcome.NotExecuted, reason: `status ${status}` }
  if (status < minimumFinalStatus || status > maximumStatus) return { outcome: SendOutcome.Broken, reason: `invalid status ${status}` }
  if (notRunStatuses.has(status)) return { outcome: SendOutcome.Broken, reason: `status ${status} without a declaration that the request did not run` }
  if (status < 300 && !signed) return { outcome: SendOutcome.Broken, reason: 'successful response without a signature' }
  return undefined
}

/** Closes the connection of a response that is not forwarded, so that the server stops sending it. */
export function discardResponse (sent: SendResult): void {
  if ('received' in sent) sent.received.rest?.discard()
}

/** Whether the server had no free slot when it was probed. */
function isFull ({ running, waiting, slots }: ProbedServer['load']): boolean {
  return running + waiting >= slots
}

const failedOutcomes = new Set([SendOutcome.Failed, SendOutcome.NotExecuted, SendOutcome.Broken, SendOutcome.TimedOut])

function recordOutcome (exchange: GuestExchange, { endpoint, connection, load }: ProbedServer, sent: SendResult): void {
  const { host } = exchange
  const failed = failedOutcomes.has(sent.outcome)
  // A full server resets connections without being ill, and one that wants a pause is not ill either.
  const isConclusive = sent.outcome !== SendOutcome.Cancelled && !(failed && (isFull(load) || !host.noticedServers.isAvailable(endpoint.server)))
  if (sent.outcome === SendOutcome.NotSent) {
    recordUnreachable(endpoint, host.now())
    host.reachedServers.recordSilence(endpoint, ConnectionAge.New)
  }
  if ('received' in sent) host.reachedServers.recordResponse(endpoint, connection === undefined ? ConnectionAge.New : ConnectionAge.Used)
  if (isConclusive) {
    recordSendOutcome(endpoint, failed)
    host.failureReports.record(endpoint.server.id, failed)
  }
  if (!failed) return
  host.logger.info('send failed', {
    request: exchange.requestId,
    server: endpoint.server.id,
    address: endpoint.server.address,
    outcome: sent.outcome,
    reason: 'reason' in sent ? sent.reason : `status ${sent.received.status}`,
    fingerprint: sent.outcome === SendOutcome.Broken ? fingerprintRequest(exchange) : undefined,
    failureShare: Number(endpoint.failureRatio.toFixed(2)),
    millisecondsLeft: Math.round(exchange.deadlineAt - host.now())
  })
}
