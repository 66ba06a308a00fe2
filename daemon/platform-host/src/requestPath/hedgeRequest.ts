// Request hedging: an idempotent request that is late is also sent to a second server, and the first response is used.
import { isOverloaded } from '@siskinbeam/admission/overloadDetection'
import type { Route } from '@siskinbeam/route-table/configuration'
import { FurtherSendPurpose } from '@siskinbeam/retry-share/retryShare'
import type { RankedServer } from '@siskinbeam/server-ranking/rankServers'
import { wouldBeNearSaturation } from '@siskinbeam/server-ranking/saturationSlowdown'
import type { ProbedServer } from '../servers/probeServers.js'
import type { ServerEndpoint } from '../servers/serverEndpoint.js'
import { chooseProbedServer } from './chooseProbedServer.js'
import type { GuestExchange } from './guestExchange.js'
import { SendOutcome, type SendResult } from './sendToServer.js'

export interface ServerResult {
  endpoint: ServerEndpoint
  result: SendResult
}

export interface Hedge {
  /** Resolves with undefined if no hedge was sent. */
  promise: Promise<ServerResult | undefined>
  isSent: () => boolean
  /** Cancels a hedge that has not been sent yet. */
  stop: () => void
}

export interface ScheduleHedgeOptions {
  exchange: GuestExchange
  route: Route
  /** Servers that the request has been sent to. */
  tried: ReadonlySet<ServerEndpoint>
  serviceTimeMilliseconds: number
  send: (choice: RankedServer<ProbedServer>) => Promise<ServerResult>
}

const maximumProbeRounds = 1
/** Minimum delay of a hedge, as a multiple of the expected service time. */
const minimumDelayFactor = 1.2
/** Time reserved for a hedge before the target latency, as a multiple of the expected service time. */
const targetReserveFactor = 1.3
/** Interval of further attempts if no suitable server is found, since the first server may be gone without closing its connections. */
const attemptIntervalMilliseconds = 120

/**
 * Sends the request a second time once it is late, if a server with spare capacity is found and the retry budget permits it.
 * In an overload, a second send would take the place of another request's first one.
 */
export function scheduleHedge ({ exchange, route, tried, serviceTimeMilliseconds, send }: ScheduleHedgeOptions): Hedge {
  const sendAt = exchange.receivedAt + Math.max(minimumDelayFactor * serviceTimeMilliseconds, route.targetLatencyMilliseconds - targetReserveFactor * serviceTimeMilliseconds)
  const { host } = exchange
  let stopped = false
  let sent = false
  let stop = (): void => { stopped = true }
  const canHedge = (): boolean => !stopped && !exchange.finished && exchange.sends < route.maximumAttempts && !host.crashes.isSuspect(exchange) && exchange.deadlineAt - host.now() > serviceTimeMilliseconds
  const isUseful = (choice: RankedServer<ProbedServer> | undefined): choice is RankedServer<ProbedServer> => {
    if (choice === undefined || !choice.hasFreeSlot || isOverloaded(host.overloadStateOf(exchange.service))) return false
    const { running, waiting, slots } = choice.server.load
    return !wouldBeNearSaturation(running + waiting, slots) && choice.estimate < exchange.deadlineAt - host.now()
  }
  const promise = new Promise<ServerResult | undefined>(resolve => {
    let timer: NodeJS.Timeout | undefined
    const schedule = (milliseconds: number): void => {
      timer = setTimeout(() => { attempt().catch(() => resolve(undefined)) }, Math.max(0, milliseconds))
    }
    const attempt = async (): Promise<void> => {
      const choice = await chooseProbedServer({ exchange, tried, serviceTimeMilliseconds, rounds: maximumProbeRounds })
      if (!canHedge()) {
        resolve(undefined)
      } else if (isUseful(choice) && host.retryBudgets.tryTake(exchange.service, FurtherSendPurpose.Hedge)) {
        host.metrics.count('hedges_total')
        sent = true
        resolve(await send(choice))
      } else {
        schedule(attemptIntervalMilliseconds)
      }
    }
    schedule(sendAt - host.now())
    stop = () => {
      stopped = true
      clearTimeout(timer)
      resolve(undefined)
    }
  })
  return { promise, isSent: () => sent, stop: () => stop() }
}

/** Returns the first successful result of the two sends; if neither succeeds, the result of the first send. */
export async function raceHedge (first: Promise<ServerResult>, hedge: Hedge): Promise<ServerResult> {
  const hasResponse = (settled: ServerResult | undefined): settled is ServerResult => settled?.result.outcome === SendOutcome.Responded
  const earliest = await Promise.race([first, hedge.promise.then(settled => hasResponse(settled) ? settled : first)])
  if (hasResponse(earliest) || !hedge.isSent()) return earliest
  const other = await hedge.promise
  return hasResponse(other) ? other : earliest
}
