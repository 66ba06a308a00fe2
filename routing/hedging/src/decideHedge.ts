// Whether and when a request is sent to a second server while the first has not responded. The delay is
// a running percentile of the service's latency. Only idempotent requests are hedged, never suspects of
// crashing servers, at most once each, and within the retry budget, which the caller holds.
import { addLatency, createLatencyPercentile, type LatencyPercentile } from './latencyPercentile.js'

/** The hedging part of a service's rule in the bundle. */
export interface HedgingRule {
  enabled: boolean
  percentile: number
}

/** Latencies of one service. */
export interface HedgingState {
  rule: HedgingRule
  latencies: LatencyPercentile
}

/** Creates the state of a service; create it again when the rule changes. */
export function createHedgingState (rule: HedgingRule): HedgingState {
  return { rule, latencies: createLatencyPercentile(rule.percentile) }
}

/** Notes the time from the first send of a request to its whole response. */
export function noteRequestLatency (state: HedgingState, milliseconds: number): void {
  addLatency(state.latencies, milliseconds)
}

export enum HedgeDecisionKind {
  /** Don't hedge this request, and don't ask again. */
  Never = 'never',
  /** Ask again at the time given. */
  Wait = 'wait',
  /** Choose a second server and send now; take one retry from the budget. */
  Send = 'send'
}

export type HedgeDecision =
  | { kind: HedgeDecisionKind.Never }
  | { kind: HedgeDecisionKind.Wait, untilMilliseconds: number }
  | { kind: HedgeDecisionKind.Send }

export interface DecideHedgeOptions {
  state: HedgingState
  now: number
  /** When the present attempt was sent. */
  sentAt: number
  /** The request's deadline; a hedge that can't respond before it is useless. */
  deadlineAt: number
  idempotent: boolean
  /** Whether the request's fingerprint is a crash suspect. */
  suspect: boolean
  /** Hedges sent already. */
  hedgesSent: number
  /** Whether the retry budget allows one more send. Asked again at the time of the hedge. */
  budgetAvailable: boolean
}

const never: HedgeDecision = { kind: HedgeDecisionKind.Never }

/** Decides on a hedge; called after the first send and again at the time of each `Wait`. */
export function decideHedge (options: DecideHedgeOptions): HedgeDecision {
  const { state, now, sentAt, deadlineAt, idempotent, suspect, hedgesSent, budgetAvailable } = options
  const delay = state.latencies.valueMilliseconds
  if (!state.rule.enabled || !idempotent || suspect || hedgesSent > 0 || delay === undefined) return never
  const hedgeAt = sentAt + delay
  if (hedgeAt >= deadlineAt) return never
  if (now < hedgeAt) return { kind: HedgeDecisionKind.Wait, untilMilliseconds: hedgeAt }
  return budgetAvailable ? { kind: HedgeDecisionKind.Send } : never
}

/** The attempts to cancel once one has responded: all others that are still open. */
export function listAttemptsToCancel<Attempt> (openAttempts: readonly Attempt[], responded: Attempt): Attempt[] {
  return openAttempts.filter(attempt => attempt !== responded)
}
