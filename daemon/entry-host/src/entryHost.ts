// What the filters of the request path know of the host that they run on.
import type { CrashEvent, CrashSuspectsState } from '@siskinbeam/crash-suspects/crashTypes'
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { MeasuringCost } from '@siskinbeam/measuring-budget/takeMeasuringBudget'
import type { Metrics } from '@siskinbeam/metrics/createMetrics'
import type { ProbingCommand } from '@siskinbeam/probing/stepProbing'
import type { Random } from '@siskinbeam/random/createRandom'
import type { Bundle } from '@siskinbeam/schema/bundle'
import type { FindRoute } from '@siskinbeam/schema/findRoute'
import type { ClaimService } from './claims/startClaimService.js'
import type { ServiceRuntime } from './servers/serviceRuntime.js'

/** The bundle in force and what is kept for its services. */
export interface ActiveBundle {
  bundle: Bundle
  digest: string
  findRoute: FindRoute
  services: Map<string, ServiceRuntime>
}

/** An address that a guest may connect to. */
export interface GuestAddress {
  address: string
  dataCentre: string
}

/** The answer to a guest that asks for entry addresses. */
export interface AddressList {
  addresses: GuestAddress[]
  timeToLiveSeconds: number
}

/** The host, as the request path sees it. */
export interface EntryHost {
  readonly name: string
  readonly outgoingAddress: string | undefined
  readonly logger: Logger
  readonly metrics: Metrics
  readonly random: Random
  readonly claims: ClaimService
  readonly crashes: CrashSuspectsState
  /** Monotonic milliseconds. */
  now: () => number
  /** Wall clock in epoch milliseconds. */
  epochNow: () => number
  /** The bundle in force. */
  activeBundle: () => ActiveBundle | undefined
  /** Whether requests may be taken; false before the first bundle and after a long pause. */
  mayServe: () => boolean
  /** This host is shutting down. */
  leaving: () => boolean
  /** This host refuses new requests, since the guests' cached addresses have expired. */
  refusing: () => boolean
  listAddresses: (dataCentre: string | undefined) => AddressList
  takeMeasuringBudget: (cost: MeasuringCost) => boolean
  /** Starts a measurement whose cost is booked. */
  measure: (service: ServiceRuntime, command: ProbingCommand) => void
  /** Resolves once peers have been told, or after a short time. */
  feedCrashes: (event: CrashEvent) => Promise<void>
}
