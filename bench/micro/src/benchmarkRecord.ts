// The record of a microbenchmark run, as it is written to JSON.

/** Unit of a measurement. */
export enum MeasurementUnit {
  Microseconds = 'microseconds',
  Bytes = 'bytes'
}

/** Names of the measurements. `scripts/computeCapacity.mjs` looks measurements up by their values. */
export enum MeasurementName {
  ServerDecision = 'server-decision',
  SubsetChoice = 'subset-choice',
  ProbeDecision = 'probe-decision',
  Admission = 'admission',
  ClaimBatch = 'claim-batch',
  HeartbeatStep = 'heartbeat-step',
  BundleParse = 'bundle-parse',
  BundleCheck = 'bundle-check',
  BundleCheckOneService = 'bundle-check-one-service',
  BundleVerification = 'bundle-verification',
  SignatureVerification = 'signature-verification',
  BundleActivation = 'bundle-in-force',
  RouteLookup = 'route-lookup',
  CrashSuspectCheck = 'crash-suspect-check',
  RequestHeadCheck = 'request-head-check',
  PermitDecision = 'permit-decision',
  NoticeCheck = 'notice-check',
  ProbeShare = 'probe-share',
  PlainCall = 'plain-call',
  ChannelRoundTrip = 'channel-round-trip',
  ServiceStateMemory = 'service-state-memory',
  BundleMemory = 'bundle-memory',
  MemberMemory = 'member-memory',
  BundleSize = 'bundle-size',
  OneServerDifference = 'one-server-difference',
  HeartbeatSize = 'heartbeat-size',
  SharedReportsSize = 'shared-reports-size',
  HostListSize = 'host-list-size'
}

/** One measurement at one size. The spread is taken over the repetitions; sizes in bytes have none. */
export interface Measurement {
  name: MeasurementName
  unit: MeasurementUnit
  size: number
  /** Unit of `size`, for example servers. */
  sizeUnit: string
  median: number
  lowest: number
  highest: number
  /** Standard deviation over the repetitions. */
  deviation: number
  repetitions: number
  /** Operations in one repetition. */
  iterations: number
}

/** A least-squares line fitted to the medians of one measurement over its sizes. */
export interface Fit {
  name: MeasurementName
  unit: MeasurementUnit
  sizeUnit: string
  slope: number
  /** Standard error of the slope; null with fewer than three sizes. */
  slopeError: number | null
  intercept: number
  interceptError: number | null
  /** Standard deviation of the medians about the line; null with fewer than three sizes. */
  residualDeviation: number | null
  points: number
}

/** The record of one run. */
export interface BenchmarkRecord {
  nodeVersion: string
  processor: string
  measurements: Measurement[]
  fits: Fit[]
}
