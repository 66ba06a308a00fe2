// Filter: sends a request to a server, and to further servers where that is safe, until there is a response to forward
// or a reason to refuse. A table of handlers decides what follows each outcome of a send.
import { decideAdmission, RequestPriority } from '@siskinbeam/admission/decideAdmission'
import { decideBeforeStop } from '@siskinbeam/admission/decideBeforeStop'
import { decideRetryAfter } from '@siskinbeam/admission/decideRetryAfter'
import { isOverloaded, recordSelection } from '@siskinbeam/admission/overloadDetection'
import { recordTimeout } from '@siskinbeam/admission/timeBeforeArrival'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { updateCorrection } from '@siskinbeam/server-ranking/estimateCorrection'
import { recordResponseTime, wouldBeNearSaturation } from '@siskinbeam/server-ranking/saturationSlowdown'
import type { RankedServer } from '@siskinbeam/server-ranking/rankServers'
import { ProbeConnections, type ProbedServer } from '../servers/probeServers.js'
import type { ServerEndpoint } from '../servers/serverEndpoint.js'
import { formatStartKey } from '../servers/startKey.js'
import { awaitSuspectDecision, isRefusedNow } from './awaitSuspectDecision.js'
import { chooseProbedServer } from './chooseProbedServer.js'
import { chooseServer } from './chooseServer.js'
import type { Filter, GuestExchange } from './guestExchange.js'
import { forwardByPeer, Forwarding } from './forwardByPeer.js'
import { canRepeat, canSendAgain, minimumRemainingRatio, refuseNotRun, type PendingRequest } from './pendingRequest.js'
import { guestEndedReason, refuse } from './refuse.js'
import { relayResponse } from './relayResponse.js'
import { discardResponse, SendOutcome, sendToServer, type SendResult } from './sendToServer.js'
import { raceHedge, scheduleHedge, type ServerResult } from './hedgeRequest.js'

const maximumProbeRounds = 3
/** Responses of servers with at most this slowdown reflect the work itself rather than a slow server. */
const maximumNormalSlowdown = 1.2
const shortRetryAfterMilliseconds = 60
const maximumRetryAfterMilliseconds = 400
/** Guests return spread over this share of the time until a server ends its pause. */
const pauseSpreadRatio = 0.2
/** A check takes a few milliseconds, and so does the write that shares its result. */
const maximumDeathCheckMilliseconds = 150
/** Outcomes of sends that a server may have run, for the first send as well as for a hedge that loses the race. */
const possiblyRunOutcomes = new Set([SendOutcome.Failed, SendOutcome.Broken, SendOutcome.TimedOut])
/** Outcomes whose duration is used to correct later estimates. */
const calibratingOutcomes = new Set([SendOutcome.Responded, SendOutcome.TimedOut])

export const forwardRequest: Filter = exchange => {
  const { route } = exchange
  if (route === undefined) return
  const timeBeforeArrival = recordTimeout(exchange.host.timeoutCountsOf(route.name), exchange.guestTimeoutMilliseconds)
  const pending: PendingRequest = { exchange, route, tried: new Set(), firstAttemptAt: exchange.receivedAt - timeBeforeArrival, mayHaveRun: false }
  attemptSend(pending).catch((error: unknown) => {
    exchange.host.logger.error('request path failed', { request: exchange.requestId, reason: String(error) })
    refuse(exchange, { code: exchange.sends > 0 ? ResultCode.ServerFailedAfterSend : ResultCode.NoServer, reason: 'internal error' })
  })
}

async function attemptSend (pending: PendingRequest): Promise<void> {
  const { exchange, route, tried } = pending
  const { host } = exchange
  if (exchange.guestEnded) {
    refuseNotRun(pending, ResultCode.GuestEnded, guestEndedReason, shortRetryAfterMilliseconds)
    return
  }
  if (!decideBeforeStop({ now: host.now(), deadlineAt: exchange.deadlineAt, ...host.shutdownTimes() })) {
    refuseNotRun(pending, ResultCode.HostLeaving, 'host is shutting down', 0)
    return
  }
  const suspect = await awaitSuspectDecision(exchange)
  if (suspect.isRefused) {
    refuseSuspect(pending)
    return
  }
  const serviceTimeMilliseconds = host.serviceTimes.read(route.name, route.targetLatencyMilliseconds)
  const wanted = { exchange, tried, serviceTimeMilliseconds, onlyAddress: suspect.onlyAddress, rounds: maximumProbeRounds }
  const isOutOfReach = host.reachedServers.isOutOfReach(exchange.service)
  const openChoice = isOutOfReach && host.reachedServers.mayUseOpenConnections(exchange.service) ? await chooseProbedServer({ ...wanted, connections: ProbeConnections.Open, rounds: 1 }) : undefined
  if (exchange.finished) return
  if (isOutOfReach && openChoice === undefined) {
    const forwarding = await forwardByPeer(pending)
    if (forwarding !== Forwarding.NotPossible) return continueAfter(forwarding, pending)
  }
  const { choice, retryAfterMilliseconds: limitRetryAfterMilliseconds } = openChoice === undefined ? await chooseServer({ ...wanted, insists: isOutOfReach }) : { choice: openChoice, retryAfterMilliseconds: undefined }
  if (exchange.finished) return
  if (exchange.guestEnded) {
    refuseNotRun(pending, ResultCode.GuestEnded, guestEndedReason, shortRetryAfterMilliseconds)
    return
  }
  const remainingMilliseconds = exchange.deadlineAt - host.now()
  if (choice === undefined && !isOutOfReach && exchange.forwarded === undefined && hasSilentServers(pending)) {
    const forwarding = await forwardByPeer(pending)
    if (forwarding !== Forwarding.NotPossible) return continueAfter(forwarding, pending)
  }
  if (choice === undefined && limitRetryAfterMilliseconds !== undefined) {
    refuseNotRun(pending, ResultCode.ServersAtLimit, 'servers are at the limits that they have named', Math.max(shortRetryAfterMilliseconds, limitRetryAfterMilliseconds))
    return
  }
  const pauseMilliseconds = choice === undefined ? host.noticedServers.findReturnMilliseconds(host.endpoints.listService(exchange.service).filter(endpoint => endpoint.acceptsRequests()).map(({ server }) => server)) : undefined
  if (pauseMilliseconds !== undefined) {
    refuseNotRun(pending, ResultCode.ServersPaused, 'servers want no requests from this host', pauseMilliseconds * (1 + pauseSpreadRatio * host.random()))
    return
  }
  if (choice === undefined) {
    refuseNotRun(pending, tried.size === 0 ? ResultCode.NoServer : ResultCode.ServersRefused, 'no server responded to a probe', maximumRetryAfterMilliseconds)
    return
  }
  if (remainingMilliseconds <= serviceTimeMilliseconds * minimumRemainingRatio) {
    refuseNotRun(pending, ResultCode.DeadlineExceededBeforeSend, `only ${Math.round(remainingMilliseconds)} ms left before the deadline`, shortRetryAfterMilliseconds)
    return
  }
  const overload = host.overloadStateOf(exchange.service)
  const { load, probedAt } = choice.server
  const occupied = load.running + load.waiting
  recordSelection(overload, wouldBeNearSaturation(occupied, load.slots))
  const hasSpareCapacity = choice.hasFreeSlot && !isOverloaded(overload)
  const estimatedLatencyMilliseconds = choice.estimate * host.correctionStateOf(exchange.service).factor
  exchange.choiceLogFields = {
    chosen: choice.server.endpoint.server.id,
    load: `${load.running}/${load.waiting}/${load.slots}`,
    pace: load.slowdown,
    loadAgeMilliseconds: Math.round(host.now() - probedAt),
    estimateMilliseconds: Math.round(estimatedLatencyMilliseconds),
    tried: tried.size
  }
  const elapsedMilliseconds = host.now() - pending.firstAttemptAt
  const isAdmitted = decideAdmission({
    estimatedLatencyMilliseconds,
    elapsedMilliseconds,
    targetLatencyMilliseconds: route.targetLatencyMilliseconds,
    remainingMilliseconds,
    priority: host.routes()?.isLessImportant(route, exchange.service) === true ? RequestPriority.Lower : RequestPriority.Highest,
    hasSpareCapacity
  })
  if (!isAdmitted) {
    const retryAfterMilliseconds = decideRetryAfter({
      targetLeftMilliseconds: route.targetLatencyMilliseconds - elapsedMilliseconds, serviceTimeMilliseconds, remainingMilliseconds, random: host.random
    })
    refuseNotRun(pending, ResultCode.Overloaded, `best server would need an estimated ${Math.round(estimatedLatencyMilliseconds)} of ${Math.round(remainingMilliseconds)} ms`, retryAfterMilliseconds)
    return
  }
  if (!host.noticedServers.isAvailable(choice.server.endpoint.server)) return attemptSend(pending)
  // Another host may have reported a death while the servers were probed.
  if (isRefusedNow(exchange)) {
    refuseSuspect(pending)
    return
  }
  if (exchange.sends === 0) host.retryBudgets.recordFirstSend(exchange.service)
  const { endpoint, result } = await sendAndHedge(pending, choice)
  await outcomeHandlers[result.outcome](pending, endpoint, result as never)
}

/** Whether servers that may be probed have not responded, in contrast to a service without any, or whose servers want nothing. */
function hasSilentServers ({ exchange: { host, service } }: PendingRequest): boolean {
  return host.endpoints.listService(service).some(endpoint => endpoint.acceptsRequests() && endpoint.backoffUntil > host.now() &&
    host.noticedServers.isAvailable(endpoint.server) && host.limitedServers.find(endpoint.server) === undefined)
}

async function continueAfter (forwarding: Forwarding, pending: PendingRequest): Promise<void> {
  if (forwarding === Forwarding.Repeat) await attemptSend(pending)
}

type OutcomeHandler<Outcome extends SendOutcome> = (pending: PendingRequest, endpoint: ServerEndpoint, result: Extract<SendResult, { outcome: Outcome }>) => Promise<void> | void

const outcomeHandlers: { [Outcome in SendOutcome]: OutcomeHandler<Outcome> } = {
  [SendOutcome.Responded]: ({ exchange }, endpoint, { received }) => {
    relayResponse(exchange, received, { id: endpoint.server.id, startKey: formatStartKey(endpoint.server) })
  },
  [SendOutcome.Failed]: (pending, endpoint, { received }) => {
    if (canRepeat(pending)) {
      received.rest?.discard()
      return attemptSend(pending)
    }
    relayResponse(pending.exchange, received, { id: endpoint.server.id, startKey: formatStartKey(endpoint.server) })
  },
  [SendOutcome.NotExecuted]: (pending, endpoint, { reason }) => {
    if (canSendAgain(pending)) return attemptSend(pending)
    refuseNotRun(pending, ResultCode.ServersRefused, reason, shortRetryAfterMilliseconds)
  },
  [SendOutcome.NotSent]: pending => {
    pending.exchange.sends -= 1
    return attemptSend(pending)
  },
  [SendOutcome.Broken]: async (pending, endpoint, { reason }) => {
    if (pending.exchange.sends > 1) await awaitDeathCheck(pending.exchange)
    if (canRepeat(pending)) return attemptSend(pending)
    // Guests repeat failed requests, so the other hosts have to learn of a server's death first.
    await awaitDeathCheck(pending.exchange)
    refuse(pending.exchange, { code: ResultCode.ServerFailedAfterSend, reason })
  },
  [SendOutcome.TimedOut]: (pending, endpoint, { reason }) => {
    refuse(pending.exchange, { code: ResultCode.ServerTimedOut, reason })
  },
  [SendOutcome.Cancelled]: () => {}
}

/** Refuses a request that has crashed servers until it is forgotten. */
function refuseSuspect (pending: PendingRequest): void {
  const { host } = pending.exchange
  host.metrics.count('crash_suspects_refused_total')
  refuseNotRun(pending, ResultCode.CrashSuspect, 'servers ended while they ran this request', host.crashes.readRefusalMilliseconds(pending.exchange))
}

async function awaitDeathCheck ({ deathCheck }: GuestExchange): Promise<void> {
  let timer: NodeJS.Timeout | undefined
  await Promise.race([deathCheck, new Promise<void>(resolve => { timer = setTimeout(resolve, maximumDeathCheckMilliseconds) })])
  clearTimeout(timer)
}

async function sendAndHedge (pending: PendingRequest, choice: RankedServer<ProbedServer>): Promise<ServerResult> {
  const first = sendAndRecord(pending, choice)
  if (!pending.route.idempotent || pending.exchange.sends >= pending.route.maximumAttempts) return first
  const hedge = scheduleHedge({
    exchange: pending.exchange,
    route: pending.route,
    tried: pending.tried,
    serviceTimeMilliseconds: pending.exchange.host.serviceTimes.read(pending.route.name, pending.route.targetLatencyMilliseconds),
    send: second => sendAndRecord(pending, second)
  })
  const winner = await raceHedge(first, hedge)
  hedge.stop()
  // Cancels the send that lost the race, or discards the response that it already got.
  pending.exchange.cancelSends.forEach(cancel => cancel())
  ;[first, hedge.promise].forEach(send => {
    send.then(sent => { if (sent !== undefined && sent !== winner) discardResponse(sent.result) }, () => {})
  })
  return winner
}

async function sendAndRecord (pending: PendingRequest, { server, estimate }: RankedServer<ProbedServer>): Promise<ServerResult> {
  const { exchange, route, tried } = pending
  tried.add(server.endpoint)
  const sentAt = exchange.host.now()
  const result = await sendToServer(exchange, server)
  if (possiblyRunOutcomes.has(result.outcome)) pending.mayHaveRun = true
  const expectedMilliseconds = exchange.host.serviceTimes.read(route.name, route.targetLatencyMilliseconds)
  const milliseconds = exchange.host.now() - sentAt
  if (calibratingOutcomes.has(result.outcome)) updateCorrection(exchange.host.correctionStateOf(exchange.service), estimate, milliseconds)
  if (result.outcome === SendOutcome.Responded) {
    const { load } = server
    exchange.host.serviceTimes.record(route.name, route.targetLatencyMilliseconds, milliseconds)
    if (load.slowdown <= maximumNormalSlowdown && load.waiting === 0) {
      recordResponseTime(exchange.host.saturationStateOf(exchange.service), wouldBeNearSaturation(load.running, load.slots), milliseconds / expectedMilliseconds)
    }
  }
  return { endpoint: server.endpoint, result }
}
