// What the parts of an entry host share.
import type { PressureState } from '@siskinbeam/admission/overloadPressure'
import type { RouteTable } from '@siskinbeam/route-table/createRouteTable'
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { HostSettings } from '@siskinbeam/platform-adapter/readHostSettings'
import type { Random } from '@siskinbeam/random/createRandom'
import type { FurtherSend } from '@siskinbeam/retry-share/retryShare'
import type { CorrectionState } from '@siskinbeam/server-ranking/estimateCorrection'
import type { FullnessState } from '@siskinbeam/server-ranking/fullnessFactor'
import type { InitialView } from './dataCentre/initialView.js'
import type { LongestTimeouts } from './requestPath/longestTimeouts.js'
import type { WorkEstimates } from './requestPath/workEstimates.js'
import type { ServerEndpoints } from './servers/serverEndpoints.js'

/** Counters and latencies of this process. */
export interface HostMetrics {
  count: (name: string, amount?: number) => void
  recordMilliseconds: (name: string, milliseconds: number) => void
}

export interface PlatformHost {
  settings: HostSettings
  logger: Logger
  metrics: HostMetrics
  random: Random
  /** Milliseconds of the monotonic clock. */
  now: () => number
  /** When the host started, on the monotonic clock. */
  startedAt: number
  initialView: InitialView
  /** Undefined until a configuration is known. */
  routes: () => RouteTable | undefined
  endpoints: ServerEndpoints
  isShuttingDown: () => boolean
  retryBudgets: RetryBudgets
  serviceTimes: WorkEstimates
  longestTimeouts: LongestTimeouts
  /** How much nearly full servers of a service slow down. */
  fullnessOf: (service: string) => FullnessState
  /** By how much answers of a service take longer than estimated. */
  correctionOf: (service: string) => CorrectionState
  /** Whether a service is short of room. */
  pressureOf: (service: string) => PressureState
}

/** The retry budgets of all services. */
export interface RetryBudgets {
  recordFirstSend: (service: string) => void
  tryTake: (service: string, purpose: FurtherSend) => boolean
}
