// What the parts of an entry host share.
import type { PressureState } from '@siskinbeam/admission/overloadPressure'
import type { RouteTable } from '@siskinbeam/route-table/createRouteTable'
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { HostSettings } from '@siskinbeam/platform-adapter/readHostSettings'
import type { Random } from '@siskinbeam/random/createRandom'
import type { FurtherSend } from '@siskinbeam/retry-share/retryShare'
import type { CorrectionState } from '@siskinbeam/server-ranking/estimateCorrection'
import type { FullnessState } from '@siskinbeam/server-ranking/fullnessFactor'
import type { FirstView } from './dataCentre/firstView.js'
import type { LongestWaits } from './requestPath/longestWaits.js'
import type { WorkEstimates } from './requestPath/workEstimates.js'
import type { ServerLinks } from './servers/serverLinks.js'

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
  firstView: FirstView
  /** Undefined until a configuration is known. */
  routes: () => RouteTable | undefined
  links: ServerLinks
  leaving: () => boolean
  retries: ServiceRetries
  work: WorkEstimates
  longestWaits: LongestWaits
  /** How much nearly full servers of a service slow down. */
  fullnessOf: (service: string) => FullnessState
  /** By how much answers of a service take longer than estimated. */
  correctionOf: (service: string) => CorrectionState
  /** Whether a service is short of room. */
  pressureOf: (service: string) => PressureState
}

/** The retry budgets of all services. */
export interface ServiceRetries {
  noteFirstSend: (service: string) => void
  take: (service: string, purpose: FurtherSend) => boolean
}
