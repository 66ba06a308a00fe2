// Has a request sent to a server by another host, for a host that reaches no server of the service itself. Hosts are asked first whether they
// take the request, on the connection that carries it then. So one that has ended, is frozen or is cut off as well costs no request.
import { choosePeers, isOutOfReachEverywhere, PeerRefusal, recordPeerRefusal, type PeerHost } from '@siskinbeam/peer-forwarding/peerChoice'
import { describeResultCode } from '@siskinbeam/result-codes/describeResultCode'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { forwardingOfferPath, type ForwardingOffer, type ForwardingOfferRequest } from '../dataCentre/peerMessages.js'
import { selectEndToEndHeaders } from '../requestPath/endToEndHeaders.js'
import type { GuestExchange } from '../requestPath/guestExchange.js'
import { runGuestExchange } from '../requestPath/runGuestExchange.js'
import { ExchangeOutcome, LargeBody, type ReceivedResponse, type ServerConnection } from '../servers/serverConnection.js'
import { readId } from '../servers/startKey.js'
import { recordForwardedStatements } from './recordForwardedStatements.js'
import { formatForwardedDetails, forwardedHeader, forwardingHeaders, readResponseOrigin } from './forwardingHeaders.js'

export enum ForwardOutcome {
  /** A complete response of a server that can be forwarded. */
  Responded = 'answered',
  /** The other host refused the request or failed. */
  Refused = 'refused',
  /** No host took the request, which has not run. */
  Unavailable = 'unavailable',
  /** The request may have been run, but no complete and valid response arrived. */
  Broken = 'broken',
  TimedOut = 'timed-out',
  Cancelled = 'cancelled'
}

export type ForwardResult =
  | { outcome: ForwardOutcome.Responded, received: ReceivedResponse, server: string }
  | { outcome: ForwardOutcome.Refused, code: ResultCode, retryAfterMilliseconds: number | undefined }
  /** `isConfirmed` says that no host that responds reaches a server of the service. */
  | { outcome: ForwardOutcome.Unavailable, isConfirmed: boolean }
  | { outcome: ForwardOutcome.Broken | ForwardOutcome.TimedOut | ForwardOutcome.Cancelled, reason: string }

interface AcceptingPeer {
  peer: PeerHost
  connection: ServerConnection
}

/** Hosts asked at the same time. The first that takes the request gets it. */
const peersPerRound = 2
const maximumRounds = 4
/** A host that takes longer to say whether it takes a request counts as silent. */
const offerTimeoutMilliseconds = 150
const maximumOfferBytes = 4_096
const droppedHeaders = new Set([...forwardingHeaders, 'content-length'])
/** Results with which the request can be offered to a further host. */
const elsewhereCodes = new Set([ResultCode.NoBundle, ResultCode.HostLeaving, ResultCode.NoServer, ResultCode.ForwardingRefused])

/** Forwards the request. The body must have been read. */
export async function forwardToPeer (exchange: GuestExchange): Promise<ForwardResult> {
  const asked = new Set<string>()
  const first = await forwardInRounds(exchange, asked, maximumRounds)
  if (first.outcome !== ForwardOutcome.Unavailable || first.isConfirmed || exchange.finished) return first
  // Hosts of other data centres may be unknown so far.
  await exchange.host.peerDirectory.refresh()
  return forwardInRounds(exchange, asked, maximumRounds)
}

async function forwardInRounds (exchange: GuestExchange, asked: Set<string>, rounds: number): Promise<ForwardResult> {
  const { host, service } = exchange
  const { peerDirectory, peerChoices } = host
  const unavailable: ForwardResult = { outcome: ForwardOutcome.Unavailable, isConfirmed: isOutOfReachEverywhere(peerChoices, { peers: peerDirectory.list(), service, now: host.now() }) }
  if (rounds === 0 || exchange.finished || exchange.deadlineAt <= host.now()) return unavailable
  const peers = choosePeers(peerChoices, {
    peers: peerDirectory.list(), dataCentre: host.settings.dataCentre, localHosts: peerDirectory.countLocal(), service, asked, count: peersPerRound, now: host.now(), random: host.random
  })
  if (peers.length === 0) return unavailable
  peers.forEach(({ name }) => asked.add(name))
  const accepting = await findAccepting(exchange, peers)
  if (accepting === undefined || exchange.finished) return forwardInRounds(exchange, asked, rounds - 1)
  const result = await sendToPeer(exchange, accepting)
  host.metrics.count(`requests_forwarded_total{outcome="${result.outcome}"}`)
  if (result.outcome !== ForwardOutcome.Refused || !elsewhereCodes.has(result.code)) return result
  recordRefusal(exchange, accepting.peer, result.code === ResultCode.NoServer ? PeerRefusal.OutOfReach : PeerRefusal.Declined)
  return forwardInRounds(exchange, asked, rounds - 1)
}

/** Resolves with the first host that takes the request, or with undefined if none does. */
function findAccepting (exchange: GuestExchange, peers: PeerHost[]): Promise<AcceptingPeer | undefined> {
  return new Promise(resolve => {
    let pending = peers.length
    peers.forEach(peer => {
      offerTo(exchange, peer).catch(() => undefined).then(accepting => {
        pending -= 1
        if (accepting !== undefined || pending === 0) resolve(accepting)
      }, () => {})
    })
  })
}

async function offerTo (exchange: GuestExchange, peer: PeerHost): Promise<AcceptingPeer | undefined> {
  const { host, service } = exchange
  const link = host.peerLinks.find(peer.peerAddress)
  if (!link.hasLeft()) return undefined
  const connection = link.acquire()
  const isReused = connection.wasUsed()
  const result = await requestOffer(host, connection, service)
  // A connection that was idle may have been closed by the other host.
  const isStale = isReused && result.outcome === ExchangeOutcome.Broken && link.hasLeft()
  const used = isStale ? link.open() : connection
  const settled = isStale ? await requestOffer(host, used, service) : result
  const offer = settled.outcome === ExchangeOutcome.Responded ? readOffer(settled.received.body) : undefined
  if (offer?.accepts === true) return { peer, connection: used }
  if (offer === undefined) host.logger.info('host does not forward', { peer: peer.name, outcome: settled.outcome })
  recordRefusal(exchange, peer, offer === undefined ? PeerRefusal.Silent : offer.isOutOfReach ? PeerRefusal.OutOfReach : PeerRefusal.Declined)
  return undefined
}

function recordRefusal ({ host, service }: GuestExchange, { name }: PeerHost, reason: PeerRefusal): void {
  recordPeerRefusal(host.peerChoices, { name, service, reason, now: host.now() })
}

function requestOffer (host: GuestExchange['host'], connection: ServerConnection, service: string): ReturnType<typeof connection.runExchange<LargeBody.Refuse>> {
  const request: ForwardingOfferRequest = { member: host.describeOwn(), service, configurationVersion: host.routes()?.configuration.version ?? 0 }
  const body = Buffer.from(JSON.stringify(request))
  return connection.runExchange({
    method: 'POST',
    path: forwardingOfferPath,
    headers: ['Host', host.settings.host, 'Content-Type', 'application/json', 'Content-Length', String(body.length)],
    body,
    timeoutMilliseconds: offerTimeoutMilliseconds,
    acceptedBodyBytes: maximumOfferBytes,
    largeBody: LargeBody.Refuse,
    isMatchingResponse: status => status === 200
  })
}

function readOffer (body: Buffer): ForwardingOffer | undefined {
  try {
    const offer = JSON.parse(body.toString('utf8')) as Partial<ForwardingOffer> | null
    return typeof offer?.accepts === 'boolean' ? { accepts: offer.accepts, isOutOfReach: offer.isOutOfReach === true } : undefined
  } catch {
    return undefined // Not an offer, like a body without the field.
  }
}

async function sendToPeer (exchange: GuestExchange, { peer, connection }: AcceptingPeer): Promise<ForwardResult> {
  const { host, request, service, sends } = exchange
  const link = host.peerLinks.find(peer.peerAddress)
  if (!link.hasLeft(connection)) return { outcome: ForwardOutcome.Refused, code: ResultCode.ForwardingRefused, retryAfterMilliseconds: undefined }
  exchange.sends += 1
  exchange.choiceLogFields = { via: peer.name }
  const sentAt = host.now()
  const details = formatForwardedDetails({ from: host.settings.host, service, elapsedMilliseconds: Math.max(0, sentAt - exchange.receivedAt), sends })
  const result = await runGuestExchange(exchange, {
    connection: link.acquire(connection),
    headers: [...selectEndToEndHeaders(request.rawHeaders, droppedHeaders), forwardedHeader, details],
    timeoutMilliseconds: exchange.deadlineAt - sentAt
  })
  if (result.outcome === ExchangeOutcome.NotSent) {
    exchange.sends -= 1
    recordRefusal(exchange, peer, PeerRefusal.Silent)
    return { outcome: ForwardOutcome.Refused, code: ResultCode.ForwardingRefused, retryAfterMilliseconds: undefined }
  }
  if (result.outcome !== ExchangeOutcome.Responded) {
    if (result.outcome !== ExchangeOutcome.Cancelled) recordRefusal(exchange, peer, PeerRefusal.Silent)
    return { outcome: outcomesWithoutResponse[result.outcome], reason: `${peer.name}: ${result.reason}` }
  }
  const { received } = result
  const origin = readResponseOrigin(received.headers)
  if (origin === undefined) {
    received.rest?.discard()
    return { outcome: ForwardOutcome.Broken, reason: `${peer.name}: response of no server` }
  }
  if ('code' in origin) {
    if (describeResultCode(origin.code).outcome === Outcome.NotRun) exchange.sends -= 1
    return { outcome: ForwardOutcome.Refused, code: origin.code, retryAfterMilliseconds: readRetryAfter(received) }
  }
  recordForwardedStatements(exchange, { peer: peer.name, startKey: origin.server, received })
  return { outcome: ForwardOutcome.Responded, received, server: readId(origin.server) }
}

const outcomesWithoutResponse = {
  [ExchangeOutcome.Broken]: ForwardOutcome.Broken,
  [ExchangeOutcome.TimedOut]: ForwardOutcome.TimedOut,
  [ExchangeOutcome.Cancelled]: ForwardOutcome.Cancelled
} as const

function readRetryAfter ({ headers }: ReceivedResponse): number | undefined {
  const seconds = Number(headers['retry-after'])
  return headers['retry-after'] !== undefined && Number.isFinite(seconds) && seconds >= 0 ? seconds * 1_000 : undefined
}
