// What an entry host keeps of one service while a bundle is in force: its rule, its servers, and the
// states of the decision modules that concern it.
import type { ConnectionHealthState } from '@siskinbeam/connection-shares/connectionTypes'
import type { AdmissionState } from '@siskinbeam/admission/stepAdmission'
import type { HedgingState } from '@siskinbeam/hedging/decideHedge'
import type { ProbingState } from '@siskinbeam/probing/stepProbing'
import type { RetryBudget } from '@siskinbeam/retries/retryBudget'
import type { ServerConfiguration, ServiceConfiguration } from '@siskinbeam/schema/bundle'
import type { ServerChoiceState } from '@siskinbeam/server-choice/choiceState'
import type { ServerHealthState } from '@siskinbeam/server-health/healthState'
import type { ServerConnections } from './serverConnections.js'

/** A send that was written to a server and is not answered. */
export interface OpenSend {
  fingerprint: () => string
  writtenAt: number
}

/** One server of a service. */
export interface ServerRuntime {
  place: ServerConfiguration
  host: string
  port: number
  /** To the data centre of the server, as the bundle states it; a far server is not a slow one. */
  roundTripMilliseconds: number
  connections: ServerConnections
  connectionHealth: ConnectionHealthState
  /** The boot that the server last stated. */
  boot: string
  openSends: Set<OpenSend>
  /** Sends that broke lately; they count as in flight if the server turns out to be dead. */
  brokenSends: Array<OpenSend & { brokenAt: number }>
  /** The check whether the server is dead, while it runs. */
  deathCheck: Promise<void> | undefined
}

/** A request that admission has not let through yet. */
export interface WaitingRequest {
  onAdmitted: () => void
  onRefused: (code: number, outcome: string, retryAfterMilliseconds: number) => void
}

/** One service. */
export interface ServiceRuntime {
  rule: ServiceConfiguration
  /** The servers that this host uses. */
  servers: Map<string, ServerRuntime>
  choice: ServerChoiceState
  health: ServerHealthState
  probing: ProbingState
  admission: AdmissionState
  /** Requests known to admission, by their number. */
  admitted: Map<string, WaitingRequest>
  retryBudget: RetryBudget
  hedging: HedgingState
}
