// What the filters of the request path know of the host that they run on.
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { Metrics } from '@siskinbeam/metrics/createMetrics'
import type { Random } from '@siskinbeam/random/createRandom'
import type { Bundle } from '@siskinbeam/schema/bundle'
import type { FindRoute } from '@siskinbeam/schema/findRoute'
import type { ClaimService } from './claims/startClaimService.js'
import type { Exchange } from './requestPath/exchange.js'
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

/** The host, as the request path sees it. */
export interface EntryHost {
  readonly name: string
  readonly logger: Logger
  readonly metrics: Metrics
  readonly random: Random
  readonly claims: ClaimService
  /** Monotonic milliseconds. */
  now: () => number
  /** Wall clock in epoch milliseconds. */
  epochNow: () => number
  activeBundle: () => ActiveBundle | undefined
  leaving: () => boolean
  listAddresses: (exchange: Exchange) => GuestAddress[]
}
