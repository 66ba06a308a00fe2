// Interface of the entry host to the filters of its request path.
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

/** The active bundle and the runtime state of its services. */
export interface ActiveBundle {
  bundle: Bundle
  digest: string
  findRoute: FindRoute
  services: Map<string, ServiceRuntime>
}

/** Address of an entry host for guests. */
export interface GuestAddress {
  address: string
  dataCentre: string
}

/** The entry addresses that a guest may use, and the time for which it may cache them. */
export interface AddressList {
  addresses: GuestAddress[]
  timeToLiveSeconds: number
}

/** The host as seen by the request path. */
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
  activeBundle: () => ActiveBundle | undefined
  /** Whether requests are accepted; false before the first bundle and, after a long pause, until the bundle is confirmed to be current. */
  mayServe: () => boolean
  /** Whether this host is shutting down. */
  isLeaving: () => boolean
  /** Whether this host refuses new requests, since the addresses cached by guests have expired. */
  isRefusing: () => boolean
  listAddresses: (dataCentre: string | undefined) => AddressList
  takeMeasuringBudget: (cost: MeasuringCost) => boolean
  /** Runs a command of probing. The cost must already be charged to the measuring budget. */
  runProbingCommand: (service: ServiceRuntime, command: ProbingCommand) => void
  /** Passes an event to crash detection. Resolves once the peers have received the crash report, or after a short timeout. */
  handleCrashEvent: (event: CrashEvent) => Promise<void>
}
