// Dependencies and state shared by the modules of an entry host.
import type { ByteBudget } from '@siskinbeam/byte-budget/byteBudget'
import type { OverloadState } from '@siskinbeam/admission/overloadDetection'
import type { TimeoutCounts } from '@siskinbeam/admission/timeBeforeArrival'
import type { RouteTable } from '@siskinbeam/route-table/createRouteTable'
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { PeerChoiceState } from '@siskinbeam/peer-forwarding/peerChoice'
import type { HostSettings } from '@siskinbeam/platform-adapter/readHostSettings'
import type { Random } from '@siskinbeam/random/createRandom'
import type { FurtherSendPurpose } from '@siskinbeam/retry-share/retryShare'
import type { CorrectionState } from '@siskinbeam/server-ranking/estimateCorrection'
import type { SaturationState } from '@siskinbeam/server-ranking/saturationSlowdown'
import type { CrashDetection } from './crashes/crashDetection.js'
import type { CrashRows } from './crashes/crashRows.js'
import type { FailureReports } from './dataCentre/failureReports.js'
import type { InitialView } from './dataCentre/initialView.js'
import type { PeerReport } from './dataCentre/ignoredEntries.js'
import type { Member } from './dataCentre/peerMessages.js'
import type { Permits } from './dataCentre/permits.js'
import type { PeerDirectory } from './peerForwarding/peerDirectory.js'
import type { PeerLinks } from './peerForwarding/peerLinks.js'
import type { ServiceTimeEstimates } from './requestPath/serviceTimeEstimates.js'
import type { LimitedServers } from './servers/limitedServers.js'
import type { NoticedServers } from './servers/noticedServers.js'
import type { ReachedServers } from './servers/reachedServers.js'
import type { ServerDeaths } from './servers/serverDeaths.js'
import type { ServerEndpoints } from './servers/serverEndpoints.js'

/** Records counters and latencies of this process. */
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
  /** Undefined until a configuration is loaded. */
  routes: () => RouteTable | undefined
  endpoints: ServerEndpoints
  /** Bounds the bytes that are buffered for guests and servers. */
  byteBudget: ByteBudget
  /** Servers that have named a limit. */
  limitedServers: LimitedServers
  /** Servers that leave or pause by their own word. */
  noticedServers: NoticedServers
  /** Services that this host reaches servers of. */
  reachedServers: ReachedServers
  /** Hosts that may forward requests for this one. */
  peerDirectory: PeerDirectory
  peerChoices: PeerChoiceState
  peerLinks: PeerLinks
  /** Entry of this host in the list of its data centre. */
  describeOwn: () => Member
  /** Counts and logs a report of another host that is ignored, since it can't be. */
  ignoreReport: (report: PeerReport, from: string) => void
  /** Takes probes from this host's share. Returns how many of the wanted ones may be sent. */
  takeProbes: (wanted: number) => number
  /** Requests that crash the servers that run them. */
  crashes: CrashDetection
  crashRows: CrashRows
  /** Sends in flight, and the detection of servers that end during them. */
  serverDeaths: ServerDeaths
  /** Permits to contact servers that have named a limit. */
  permits: Pick<Permits, 'take' | 'isOwner'>
  isShuttingDown: () => boolean
  /** Until when the host accepts connections, and when it closes them, on the monotonic clock; Infinity if it does not shut down. */
  shutdownTimes: () => ShutdownTimes
  retryBudgets: RetryBudgets
  /** Failures of servers that the hosts of the data centre have seen. */
  failureReports: FailureReports
  serviceTimes: ServiceTimeEstimates
  /** Counts the timeouts that guests of a route state. */
  timeoutCountsOf: (route: string) => TimeoutCounts
  /** Tracks how much servers of a service slow down when they are nearly saturated. */
  saturationStateOf: (service: string) => SaturationState
  /** Tracks how much longer responses of a service take than estimated. */
  correctionStateOf: (service: string) => CorrectionState
  /** Tracks whether a service is overloaded. */
  overloadStateOf: (service: string) => OverloadState
}

export interface ShutdownTimes {
  listensUntil: number
  stopsAt: number
}

/** Retry budgets of all services. */
export interface RetryBudgets {
  recordFirstSend: (service: string) => void
  /** Spends one retry or hedge of the budget; returns false if the budget is exhausted. */
  tryTake: (service: string, purpose: FurtherSendPurpose) => boolean
}
