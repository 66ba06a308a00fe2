// Filter: sends a request to a server, and to another one where that is safe, until there is an answer to
// pass on or a reason to refuse. What follows a send is looked up by its outcome.
import { decideAdmission, Importance } from '@siskinbeam/admission/decideAdmission'
import { isOverloaded, noteChoice } from '@siskinbeam/admission/overloadPressure'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { FurtherSend } from '@siskinbeam/retry-share/retryShare'
import { noteEstimate } from '@siskinbeam/server-ranking/estimateCorrection'
import { noteAnswerTime, wouldBeNearlyFull } from '@siskinbeam/server-ranking/fullnessFactor'
import type { RankedServer } from '@siskinbeam/server-ranking/rankServers'
import type { Route } from '@siskinbeam/route-table/configuration'
import type { AskedServer } from '../servers/askServers.js'
import type { ServerLink } from '../servers/serverLink.js'
import { chooseServer } from './chooseServer.js'
import type { Filter, GuestExchange } from './guestExchange.js'
import { refuse } from './refuse.js'
import { relayAnswer } from './relayAnswer.js'
import { SendOutcome, sendToServer, type SendResult } from './sendToServer.js'
import { firstAnswer, sendHedge, type ServerResult } from './hedgeSend.js'

interface Dispatch {
  exchange: GuestExchange
  route: Route
  tried: Set<ServerLink>
  /** Whether a server may have run the request. */
  mayHaveRun: boolean
}

const firstChoiceRounds = 3
/** Answers of servers at this pace or faster tell of the work itself. */
const usualPace = 1.2
/** With less time than this share of the usual work left, a further send would not be answered in time. */
const leastWorkShare = 0.5
const refusedRetryMilliseconds = 60
const longestRetryAfterMilliseconds = 400
/** Outcomes whose time tells how good an estimate was. */
const correctingOutcomes = new Set([SendOutcome.Answered, SendOutcome.TimedOut])
/** Guests that come back wait for less time than before, by at least this. */
const returnMarginMilliseconds = 50

export const dispatchRequest: Filter = exchange => {
  const { route } = exchange
  if (route === undefined) return
  const dispatch: Dispatch = { exchange, route, tried: new Set(), mayHaveRun: false }
  sendOnce(dispatch).catch((error: unknown) => {
    exchange.host.logger.error('request path failed', { request: exchange.requestId, reason: String(error) })
    refuse(exchange, { code: exchange.sends > 0 ? ResultCode.ServerFailedAfterSend : ResultCode.NoServer, reason: 'internal error' })
  })
}

async function sendOnce (dispatch: Dispatch): Promise<void> {
  const { exchange, route, tried } = dispatch
  const { host } = exchange
  const workMilliseconds = host.work.read(route.name, route.targetLatencyMilliseconds)
  const choice = await chooseServer({ exchange, tried, workMilliseconds, rounds: firstChoiceRounds })
  if (exchange.finished) return
  const left = exchange.deadlineAt - host.now()
  if (choice === undefined) {
    refuseUnsent(dispatch, tried.size === 0 ? ResultCode.NoServer : ResultCode.ServersRefused, 'no server answered', longestRetryAfterMilliseconds)
    return
  }
  if (left <= workMilliseconds * leastWorkShare) {
    refuseUnsent(dispatch, ResultCode.DeadlineExceededBeforeSend, `${Math.round(left)} ms are left`, refusedRetryMilliseconds)
    return
  }
  const pressure = host.pressureOf(exchange.service)
  noteChoice(pressure, wouldBeNearlyFull(choice.server.load.running + choice.server.load.waiting, choice.server.load.slots))
  const hasRoom = choice.hasRoom && !isOverloaded(pressure)
  const estimate = choice.estimate * host.correctionOf(exchange.service).factor
  const { load, askedAt } = choice.server
  exchange.decision = {
    chosen: choice.server.link.server.id,
    load: `${load.running}/${load.waiting}/${load.slots}`,
    pace: load.pace,
    loadAgeMilliseconds: Math.round(host.now() - askedAt),
    estimateMilliseconds: Math.round(estimate),
    tried: tried.size
  }
  const admission = decideAdmission({
    estimate,
    elapsed: host.now() - exchange.receivedAt,
    targetLatencyMilliseconds: route.targetLatencyMilliseconds,
    left,
    importance: readImportance(dispatch),
    hasRoom
  })
  if (!admission.admitted) {
    refuseUnsent(dispatch, ResultCode.Overloaded, `the best server would take ${Math.round(estimate)} of ${Math.round(left)} ms`, admission.retryAfterMilliseconds)
    return
  }
  if (exchange.sends === 0) host.retries.noteFirstSend(exchange.service)
  const { link, result } = await sendAndHedge(dispatch, choice)
  await followUps[result.outcome](dispatch, link, result as never)
}

type FollowUp<Outcome extends SendOutcome> = (dispatch: Dispatch, link: ServerLink, result: Extract<SendResult, { outcome: Outcome }>) => Promise<void> | void

const followUps: { [Outcome in SendOutcome]: FollowUp<Outcome> } = {
  [SendOutcome.Answered]: ({ exchange }, link, { answer }) => {
    relayAnswer(exchange, answer, link.server.id)
  },
  [SendOutcome.Failed]: (dispatch, link, { answer }) => {
    dispatch.mayHaveRun = true
    if (mayRepeat(dispatch)) return sendOnce(dispatch)
    relayAnswer(dispatch.exchange, answer, link.server.id)
  },
  [SendOutcome.NotExecuted]: (dispatch, link, { reason }) => {
    if (maySendElsewhere(dispatch)) return sendOnce(dispatch)
    refuseUnsent(dispatch, ResultCode.ServersRefused, reason, refusedRetryMilliseconds)
  },
  [SendOutcome.NotSent]: dispatch => {
    dispatch.exchange.sends -= 1
    return sendOnce(dispatch)
  },
  [SendOutcome.Broken]: (dispatch, link, { reason }) => {
    dispatch.mayHaveRun = true
    if (mayRepeat(dispatch)) return sendOnce(dispatch)
    refuse(dispatch.exchange, { code: ResultCode.ServerFailedAfterSend, reason })
  },
  [SendOutcome.TimedOut]: (dispatch, link, { reason }) => {
    dispatch.mayHaveRun = true
    refuse(dispatch.exchange, { code: ResultCode.ServerTimedOut, reason })
  },
  [SendOutcome.Cancelled]: () => {}
}

/** Refuses a request as not run, unless a server may have run it. */
function refuseUnsent ({ exchange, mayHaveRun }: Dispatch, code: ResultCode, reason: string, retryAfterMilliseconds: number): void {
  refuse(exchange, { code: mayHaveRun ? ResultCode.ServerFailedAfterSend : code, reason, retryAfterMilliseconds })
}

/** Whether a request that a server may have run is sent once more. */
function mayRepeat (dispatch: Dispatch): boolean {
  return dispatch.route.idempotent && maySendElsewhere(dispatch)
}

function maySendElsewhere ({ exchange, route }: Dispatch): boolean {
  return !exchange.finished && exchange.sends < route.maximumAttempts &&
    exchange.deadlineAt - exchange.host.now() > leastWorkShare * exchange.host.work.read(route.name, route.targetLatencyMilliseconds) &&
    exchange.host.retries.take(exchange.service, FurtherSend.Retry)
}

async function sendAndHedge (dispatch: Dispatch, choice: RankedServer<AskedServer>): Promise<ServerResult> {
  const first = sendTo(dispatch, choice)
  if (!dispatch.route.idempotent || dispatch.exchange.sends >= dispatch.route.maximumAttempts) return first
  const hedge = sendHedge({
    exchange: dispatch.exchange,
    route: dispatch.route,
    tried: dispatch.tried,
    workMilliseconds: dispatch.exchange.host.work.read(dispatch.route.name, dispatch.route.targetLatencyMilliseconds),
    send: second => sendTo(dispatch, second)
  })
  const winner = await firstAnswer(first, hedge)
  hedge.stop()
  // The sends that are still in progress have lost.
  dispatch.exchange.cancels.forEach(cancel => cancel())
  return winner
}

function readImportance ({ exchange, route }: Dispatch): Importance {
  const { host, service, waitMilliseconds } = exchange
  if (waitMilliseconds < host.longestWaits.note(route.name, waitMilliseconds) - returnMarginMilliseconds) return Importance.ComesBack
  return host.routes()?.isLessImportant(route, service) === true ? Importance.Less : Importance.Most
}

async function sendTo ({ exchange, route, tried }: Dispatch, { server, estimate }: RankedServer<AskedServer>): Promise<ServerResult> {
  tried.add(server.link)
  const sentAt = exchange.host.now()
  const result = await sendToServer(exchange, server)
  const usualMilliseconds = exchange.host.work.read(route.name, route.targetLatencyMilliseconds)
  const milliseconds = exchange.host.now() - sentAt
  if (correctingOutcomes.has(result.outcome)) noteEstimate(exchange.host.correctionOf(exchange.service), estimate, milliseconds)
  if (result.outcome === SendOutcome.Answered) {
    const { load } = server
    exchange.host.work.note(route.name, route.targetLatencyMilliseconds, milliseconds)
    if (load.pace <= usualPace && load.waiting === 0) {
      noteAnswerTime(exchange.host.fullnessOf(exchange.service), wouldBeNearlyFull(load.running, load.slots), milliseconds / usualMilliseconds)
    }
  }
  return { link: server.link, result }
}
