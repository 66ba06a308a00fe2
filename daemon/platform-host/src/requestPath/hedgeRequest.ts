// Request hedging: an idempotent request that is late is also sent to a second server, and the first response is used.
import type { Route } from '@siskinbeam/route-table/configuration'
import { FurtherSendPurpose } from '@siskinbeam/retry-share/retryShare'
import type { RankedServer } from '@siskinbeam/server-ranking/rankServers'
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

/** Sends the request a second time once it is late, if a server with a free slot is found and the retry budget permits it. */
export function scheduleHedge ({ exchange, route, tried, serviceTimeMilliseconds, send }: ScheduleHedgeOptions): Hedge {
  const sendAt = exchange.receivedAt + Math.max(minimumDelayFactor * serviceTimeMilliseconds, route.targetLatencyMilliseconds - targetReserveFactor * serviceTimeMilliseconds)
  let stopped = false
  let sent = false
  let stop = (): void => { stopped = true }
  const promise = new Promise<ServerResult | undefined>(resolve => {
    const timer = setTimeout(() => { hedge().then(resolve, () => resolve(undefined)) }, Math.max(0, sendAt - exchange.host.now()))
    stop = () => {
      stopped = true
      clearTimeout(timer)
      resolve(undefined)
    }
  })
  const hedge = async (): Promise<ServerResult | undefined> => {
    const choice = await chooseProbedServer({ exchange, tried, serviceTimeMilliseconds, rounds: maximumProbeRounds })
    const isUseful = choice?.hasFreeSlot === true && choice.estimate < exchange.deadlineAt - exchange.host.now()
    if (!isUseful || stopped || exchange.finished || exchange.sends >= route.maximumAttempts) return undefined
    if (!exchange.host.retryBudgets.tryTake(exchange.service, FurtherSendPurpose.Hedge)) return undefined
    exchange.host.metrics.count('hedges_total')
    sent = true
    return send(choice)
  }
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
