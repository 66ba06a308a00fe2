// Filter: sends a request to a server, and to further servers where that is safe, until there is a response to forward
// or a reason to refuse. A table of handlers decides what follows each outcome of a send.
import { decideAdmission, RequestPriority } from '@siskinbeam/admission/decideAdmission'
import { isOverloaded, recordSelection } from '@siskinbeam/admission/overloadDetection'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { FurtherSendPurpose } from '@siskinbeam/retry-share/retryShare'
import { updateCorrection } from '@siskinbeam/server-ranking/estimateCorrection'
import { recordAnswerTime, wouldBeNearSaturation } from '@siskinbeam/server-ranking/saturationSlowdown'
import type { RankedServer } from '@siskinbeam/server-ranking/rankServers'
import type { Route } from '@siskinbeam/route-table/configuration'
import type { ProbedServer } from '../servers/probeServers.js'
import type { ServerEndpoint } from '../servers/serverEndpoint.js'
import { chooseServer } from './chooseServer.js'
import type { Filter, GuestExchange } from './guestExchange.js'
import { refuse } from './refuse.js'
import { relayResponse } from './relayResponse.js'
import { SendOutcome, sendToServer, type SendResult } from './sendToServer.js'
import { raceHedge, scheduleHedge, type ServerResult } from './hedgeRequest.js'

interface Dispatch {
  exchange: GuestExchange
  route: Route
  tried: Set<ServerEndpoint>
  /** Whether any server may have run the request. */
  mayHaveRun: boolean
}

const maximumProbeRounds = 3
/** Responses of servers at this pace or faster reflect the work itself rather than a slow server. */
const maximumNormalPace = 1.2
/** With less time left than this share of the expected service time, a further send would not complete in time. */
const minimumTimeLeftShare = 0.5
const shortRetryAfterMilliseconds = 60
const maximumRetryAfterMilliseconds = 400
/** Outcomes whose duration is used to correct later estimates. */
const calibratingOutcomes = new Set([SendOutcome.Answered, SendOutcome.TimedOut])
/** A guest that retries states a timeout that is shorter than its first one by at least this time. */
const repeatMarginMilliseconds = 50

export const dispatchRequest: Filter = exchange => {
  const { route } = exchange
  if (route === undefined) return
  const dispatch: Dispatch = { exchange, route, tried: new Set(), mayHaveRun: false }
  attemptSend(dispatch).catch((error: unknown) => {
    exchange.host.logger.error('request path failed', { request: exchange.requestId, reason: String(error) })
    refuse(exchange, { code: exchange.sends > 0 ? ResultCode.ServerFailedAfterSend : ResultCode.NoServer, reason: 'internal error' })
  })
}

async function attemptSend (dispatch: Dispatch): Promise<void> {
  const { exchange, route, tried } = dispatch
  const { host } = exchange
  const serviceTimeMilliseconds = host.serviceTimes.read(route.name, route.targetLatencyMilliseconds)
  const choice = await chooseServer({ exchange, tried, serviceTimeMilliseconds, rounds: maximumProbeRounds })
  if (exchange.finished) return
  const left = exchange.deadlineAt - host.now()
  if (choice === undefined) {
    refuseNotRun(dispatch, tried.size === 0 ? ResultCode.NoServer : ResultCode.ServersRefused, 'no server responded to a probe', maximumRetryAfterMilliseconds)
    return
  }
  if (left <= serviceTimeMilliseconds * minimumTimeLeftShare) {
    refuseNotRun(dispatch, ResultCode.DeadlineExceededBeforeSend, `only ${Math.round(left)} ms left before the deadline`, shortRetryAfterMilliseconds)
    return
  }
  const pressure = host.pressureOf(exchange.service)
  recordSelection(pressure, wouldBeNearSaturation(choice.server.load.running + choice.server.load.waiting, choice.server.load.slots))
  const hasRoom = choice.hasRoom && !isOverloaded(pressure)
  const estimate = choice.estimate * host.correctionOf(exchange.service).factor
  const { load, probedAt } = choice.server
  exchange.choiceLogFields = {
    chosen: choice.server.endpoint.server.id,
    load: `${load.running}/${load.waiting}/${load.slots}`,
    pace: load.slowdown,
    loadAgeMilliseconds: Math.round(host.now() - probedAt),
    estimateMilliseconds: Math.round(estimate),
    tried: tried.size
  }
  const admission = decideAdmission({
    estimate,
    elapsed: host.now() - exchange.receivedAt,
    targetLatencyMilliseconds: route.targetLatencyMilliseconds,
    left,
    priority: classifyImportance(dispatch),
    hasRoom
  })
  if (!admission.admitted) {
    refuseNotRun(dispatch, ResultCode.Overloaded, `best server would need an estimated ${Math.round(estimate)} of ${Math.round(left)} ms`, admission.retryAfterMilliseconds)
    return
  }
  if (exchange.sends === 0) host.retryBudgets.recordFirstSend(exchange.service)
  const { endpoint, result } = await sendAndHedge(dispatch, choice)
  await outcomeHandlers[result.outcome](dispatch, endpoint, result as never)
}

type OutcomeHandler<Outcome extends SendOutcome> = (dispatch: Dispatch, endpoint: ServerEndpoint, result: Extract<SendResult, { outcome: Outcome }>) => Promise<void> | void

const outcomeHandlers: { [Outcome in SendOutcome]: OutcomeHandler<Outcome> } = {
  [SendOutcome.Answered]: ({ exchange }, endpoint, { received }) => {
    relayResponse(exchange, received, endpoint.server.id)
  },
  [SendOutcome.Failed]: (dispatch, endpoint, { received }) => {
    dispatch.mayHaveRun = true
    if (canRepeat(dispatch)) return attemptSend(dispatch)
    relayResponse(dispatch.exchange, received, endpoint.server.id)
  },
  [SendOutcome.NotExecuted]: (dispatch, endpoint, { reason }) => {
    if (canSendAgain(dispatch)) return attemptSend(dispatch)
    refuseNotRun(dispatch, ResultCode.ServersRefused, reason, shortRetryAfterMilliseconds)
  },
  [SendOutcome.NotSent]: dispatch => {
    dispatch.exchange.sends -= 1
    return attemptSend(dispatch)
  },
  [SendOutcome.Broken]: (dispatch, endpoint, { reason }) => {
    dispatch.mayHaveRun = true
    if (canRepeat(dispatch)) return attemptSend(dispatch)
    refuse(dispatch.exchange, { code: ResultCode.ServerFailedAfterSend, reason })
  },
  [SendOutcome.TimedOut]: (dispatch, endpoint, { reason }) => {
    dispatch.mayHaveRun = true
    refuse(dispatch.exchange, { code: ResultCode.ServerTimedOut, reason })
  },
  [SendOutcome.Cancelled]: () => {}
}

/** Refuses a request as not run, or as possibly run if a server may have started it. */
function refuseNotRun ({ exchange, mayHaveRun }: Dispatch, code: ResultCode, reason: string, retryAfterMilliseconds: number): void {
  refuse(exchange, { code: mayHaveRun ? ResultCode.ServerFailedAfterSend : code, reason, retryAfterMilliseconds })
}

/** Whether a request that a server may have run can be sent again. */
function canRepeat (dispatch: Dispatch): boolean {
  return dispatch.route.idempotent && canSendAgain(dispatch)
}

function canSendAgain ({ exchange, route }: Dispatch): boolean {
  return !exchange.finished && exchange.sends < route.maximumAttempts &&
    exchange.deadlineAt - exchange.host.now() > minimumTimeLeftShare * exchange.host.serviceTimes.read(route.name, route.targetLatencyMilliseconds) &&
    exchange.host.retryBudgets.tryTake(exchange.service, FurtherSendPurpose.Retry)
}

async function sendAndHedge (dispatch: Dispatch, choice: RankedServer<ProbedServer>): Promise<ServerResult> {
  const first = sendAndRecord(dispatch, choice)
  if (!dispatch.route.idempotent || dispatch.exchange.sends >= dispatch.route.maximumAttempts) return first
  const hedge = scheduleHedge({
    exchange: dispatch.exchange,
    route: dispatch.route,
    tried: dispatch.tried,
    serviceTimeMilliseconds: dispatch.exchange.host.serviceTimes.read(dispatch.route.name, dispatch.route.targetLatencyMilliseconds),
    send: second => sendAndRecord(dispatch, second)
  })
  const winner = await raceHedge(first, hedge)
  hedge.stop()
  // Cancels the send that lost the race.
  dispatch.exchange.cancelSends.forEach(cancel => cancel())
  return winner
}

function classifyImportance ({ exchange, route }: Dispatch): RequestPriority {
  const { host, service, guestTimeoutMilliseconds } = exchange
  if (guestTimeoutMilliseconds < host.longestTimeouts.record(route.name, guestTimeoutMilliseconds) - repeatMarginMilliseconds) return RequestPriority.Repeated
  return host.routes()?.isLessImportant(route, service) === true ? RequestPriority.Lower : RequestPriority.Highest
}

async function sendAndRecord ({ exchange, route, tried }: Dispatch, { server, estimate }: RankedServer<ProbedServer>): Promise<ServerResult> {
  tried.add(server.endpoint)
  const sentAt = exchange.host.now()
  const result = await sendToServer(exchange, server)
  const expectedMilliseconds = exchange.host.serviceTimes.read(route.name, route.targetLatencyMilliseconds)
  const milliseconds = exchange.host.now() - sentAt
  if (calibratingOutcomes.has(result.outcome)) updateCorrection(exchange.host.correctionOf(exchange.service), estimate, milliseconds)
  if (result.outcome === SendOutcome.Answered) {
    const { load } = server
    exchange.host.serviceTimes.record(route.name, route.targetLatencyMilliseconds, milliseconds)
    if (load.slowdown <= maximumNormalPace && load.waiting === 0) {
      recordAnswerTime(exchange.host.fullnessOf(exchange.service), wouldBeNearSaturation(load.running, load.slots), milliseconds / expectedMilliseconds)
    }
  }
  return { endpoint: server.endpoint, result }
}
