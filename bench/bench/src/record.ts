// The record of a run, in the form in which it is written to JSON.
import type { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import type { FaultName } from './faults/faultName.js'
import type { WorkloadName } from './workload.js'

/** Results of one run. Latencies are milliseconds from the intended start of a request to its last byte. */
export interface RunRecord {
  workload: WorkloadName
  policy: LoadBalancingPolicy
  seed: number
  load: number
  fault: FaultName
  seconds: number
  entryHosts: number
  requests: number
  answered: number
  refusedNotRun: number
  unknownOutcome: number
  lostWithoutAccount: number
  ranTwice: number
  wrongAnswer: number
  /** Number of violations that the history checker found, by kind. */
  findings: Record<string, number>
  p50Ms: number
  p99Ms: number
  p999Ms: number
  /** Latency of idempotent requests only, by which policies are compared. */
  idempotentP50Ms: number
  idempotentP99Ms: number
  /** p99 of the time spent outside the server, for requests sent directly to servers. */
  directP99Ms: number
  /** p99 of the time spent outside the server for requests through an entry host, minus that of direct requests. */
  addedP99Ms: number
  /** The same for p50. */
  addedP50Ms: number
  probesPerRequest: number
  probeBytesPerSecond: number
  /** Number of one-second windows in which an entry host exceeded the probe budget, as counted by the servers. */
  probeBudgetExceeded: number
  /** Maximum CPU usage of an entry host before the load starts, in percent of a core. */
  controlCpuPercent: number
  /** Maximum CPU usage of an entry host under load, in percent of a core. */
  loadedCpuPercent: number
  /** Maximum resident memory of an entry host. */
  residentMegabytes: number
  /** Servers that were not running at the end of the run. */
  serversFallen: number
  invariantViolations: number
  /** Number of requests answered within 2 s, for each second of the run. */
  goodputPerSecond: number[]
}
