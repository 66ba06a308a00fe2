// Hedging: sends an idempotent request to a second server if the first takes longer than usual.
import { decideHedge, HedgeDecisionKind, type HedgeDecision } from '@siskinbeam/hedging/decideHedge'
import { decideRetry, RetryCause } from '@siskinbeam/retries/decideRetry'
import { getClassRank } from './admitRequest.js'
import { schedule, type Dispatch, type OpenAttempt } from './dispatchState.js'

/** Decides whether to hedge now, later or never, and schedules the next decision. */
export function scheduleHedge (dispatch: Dispatch, firstAttempt: OpenAttempt): void {
  const { host, exchange, service } = dispatch
  if (exchange.body === null) return
  const decision = decideHedge({
    state: service.hedging,
    now: host.now(),
    sentAt: firstAttempt.startedAt,
    deadlineAt: exchange.deadlineAt,
    idempotent: exchange.route?.idempotent === true,
    suspect: dispatch.isolated,
    hedgesSent: dispatch.hedges,
    // decideRetry acquires the token at the time of the send.
    budgetAvailable: true
  })
  const handlers: { [Kind in HedgeDecisionKind]: (decision: Extract<HedgeDecision, { kind: Kind }>) => void } = {
    [HedgeDecisionKind.Never]: () => {},
    [HedgeDecisionKind.Wait]: ({ untilMilliseconds }) => schedule(dispatch, untilMilliseconds - host.now(), () => {
      if (dispatch.openAttempts.has(firstAttempt) && !dispatch.responseStarted) scheduleHedge(dispatch, firstAttempt)
    }),
    [HedgeDecisionKind.Send]: () => sendHedge(dispatch)
  }
  ;(handlers[decision.kind] as (decision: HedgeDecision) => void)(decision)
}

function sendHedge (dispatch: Dispatch): void {
  const { host, exchange, service } = dispatch
  const decision = decideRetry({
    budget: service.retryBudget,
    now: host.now(),
    random: host.random,
    request: {
      cause: RetryCause.Hedge,
      idempotent: true,
      retriedByCaller: exchange.retriedByCaller,
      maximumAttempts: service.configuration.retry.maximumAttempts,
      sends: exchange.sends,
      deadlineAt: exchange.deadlineAt,
      expectedMilliseconds: service.choice.meanLatencyMilliseconds,
      classRank: getClassRank(exchange),
      isolated: dispatch.isolated
    }
  })
  if (!decision.retries) return
  dispatch.hedges += 1
  host.metrics.count('hedges_total')
  dispatch.sendNext(dispatch, true)
}
