// Runtime state of one service while a bundle is active: its configuration, its servers, and the states of the
// decision modules.
import type { ConnectionHealthState } from '@siskinbeam/connection-shares/connectionTypes'
import type { AdmissionState } from '@siskinbeam/admission/stepAdmission'
import type { HedgingState } from '@siskinbeam/hedging/decideHedge'
import type { ProbingState } from '@siskinbeam/probing/stepProbing'
import type { RetryBudget } from '@siskinbeam/retries/retryBudget'
import type { ServerConfiguration, ServiceConfiguration } from '@siskinbeam/schema/bundle'
import type { ServerChoiceState } from '@siskinbeam/server-choice/choiceState'
import type { ServerHealthState } from '@siskinbeam/server-health/healthState'
import type { ServerNotices } from '@siskinbeam/server-notices/serverNotices'
import type { ServerConnections } from './serverConnections.js'

/** A request that was written to a server and has no response yet. Times are monotonic milliseconds. */
export interface OpenSend {
  fingerprint: () => string
  writtenAt: number
}

/** What is kept of a send that broke or was cancelled. */
export interface EndedSend {
  fingerprint: string
  writtenAt: number
  endedAt: number
}

/** Runtime state of one server of a service. */
export interface ServerRuntime {
  configuration: ServerConfiguration
  host: string
  port: number
  /** Round-trip time to the server's data centre as stated in the bundle. It is subtracted from latencies, so that distance does not count as slowness. */
  roundTripMilliseconds: number
  connections: ServerConnections
  connectionHealth: ConnectionHealthState
  /** Last boot ID that the server stated; empty before the first. */
  boot: string
  openSends: Set<OpenSend>
  /** Sends that broke or were cancelled recently. They count as in flight if the server turns out to have died. */
  recentEndedSends: EndedSend[]
  /** The running check whether the server died. */
  pendingDeathCheck: Promise<void> | undefined
}

/** Callbacks that notify a request of the admission decision. */
export interface AdmissionCallbacks {
  onAdmitted: () => void
  onRefused: (code: number, outcome: string, retryAfterMilliseconds: number) => void
}

/** Runtime state of one service. */
export interface ServiceRuntime {
  configuration: ServiceConfiguration
  /** The subset of servers that this host uses, by name. */
  servers: Map<string, ServerRuntime>
  choice: ServerChoiceState
  health: ServerHealthState
  probing: ProbingState
  admission: AdmissionState
  /** Requests that are waiting for admission or were admitted, by exchange ID. */
  admissionRequests: Map<string, AdmissionCallbacks>
  retryBudget: RetryBudget
  hedging: HedgingState
  /** Pauses that servers want from this host, by start of a server. */
  notices: ServerNotices
  /** Starts of servers whose pause had no meaning, which was logged. */
  reportedPauses: Set<string>
}
