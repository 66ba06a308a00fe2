// Decides whether and when to hedge a request, that is, send it to a second server while the first has not
// responded. The delay is a running percentile of the service's latency. Only idempotent requests are hedged,
// at most once each and within the retry budget, which the caller maintains. Requests suspected of crashing
// servers are not hedged.
import { addLatency, createLatencyPercentile, type LatencyPercentile } from './latencyPercentile.js'

/** Hedging settings of a service in the bundle. `percentile` is in (0, 100). */
export interface HedgingRule {
  enabled: boolean
  percentile: number
}

/** Hedging state of one service. */
export interface HedgingState {
  rule: HedgingRule
  latencies: LatencyPercentile
}

/** Creates the state of a service. Create a new one when the rule changes. */
export function createHedgingState (rule: HedgingRule): HedgingState {
  return { rule, latencies: createLatencyPercentile(rule.percentile) }
}

/** Records the time from the first send of a request to its complete response. */
export function recordRequestLatency (state: HedgingState, milliseconds: number): void {
  addLatency(state.latencies, milliseconds)
}

export enum HedgeDecisionKind {
  /** Do not hedge this request; the decision is final. */
  Never = 'never',
  /** Call `decideHedge` again at `untilMilliseconds`. */
  Wait = 'wait',
  /** Choose a second server, send now, and charge one retry to the budget. */
  Send = 'send'
}

export type HedgeDecision =
  | { kind: HedgeDecisionKind.Never }
  | { kind: HedgeDecisionKind.Wait, untilMilliseconds: number }
  | { kind: HedgeDecisionKind.Send }

export interface DecideHedgeOptions {
  state: HedgingState
  now: number
  /** When the current attempt was sent. */
  sentAt: number
  /** The deadline of the request. A hedge due at or after it could not respond in time and is not sent. */
  deadlineAt: number
  idempotent: boolean
  /** Whether the request's fingerprint is suspected of crashing servers. */
  suspect: boolean
  /** Number of hedges already sent. */
  hedgesSent: number
  /** Whether the retry budget allows one more send. Evaluated again when the hedge is due. */
  budgetAvailable: boolean
}

const never: HedgeDecision = { kind: HedgeDecisionKind.Never }

/** Decides on a hedge. Call it after the first send and again at the time of each `Wait`. */
export function decideHedge (options: DecideHedgeOptions): HedgeDecision {
  const { state, now, sentAt, deadlineAt, idempotent, suspect, hedgesSent, budgetAvailable } = options
  const delay = state.latencies.valueMilliseconds
  if (!state.rule.enabled || !idempotent || suspect || hedgesSent > 0 || delay === undefined) return never
  const hedgeAt = sentAt + delay
  if (hedgeAt >= deadlineAt) return never
  if (now < hedgeAt) return { kind: HedgeDecisionKind.Wait, untilMilliseconds: hedgeAt }
  return budgetAvailable ? { kind: HedgeDecisionKind.Send } : never
}

/** Returns the attempts to cancel once one has responded: all other open attempts. */
export function listAttemptsToCancel<Attempt> (openAttempts: readonly Attempt[], responded: Attempt): Attempt[] {
  return openAttempts.filter(attempt => attempt !== responded)
}
