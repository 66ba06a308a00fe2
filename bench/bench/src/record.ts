// The record of a run, as it is written to JSON.
import type { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import type { FaultName } from './faults/faultName.js'
import type { WorkloadName } from './workload.js'

/** Figures of one run. Latencies are milliseconds from the intended start of a request to its last byte. */
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
  /** Breaches that the history checker found, by kind. */
  findings: Record<string, number>
  p50Ms: number
  p99Ms: number
  p999Ms: number
  /** Of idempotent requests alone, which is what policies compare on. */
  idempotentP50Ms: number
  idempotentP99Ms: number
  /** Time outside the server, of requests sent to servers directly. */
  directP99Ms: number
  /** p99 of the time outside the server through an entry host less that of direct requests. */
  addedP99Ms: number
  addedP50Ms: number
  probesPerRequest: number
  probeBytesPerSecond: number
  /** One-second windows in which an entry host sent more probes than the budget, as servers counted them. */
  probeBudgetExceeded: number
  /** Processor share of the busiest entry host before the load starts, in percent of a core. */
  controlCpuPercent: number
  /** Processor share of the busiest entry host under load, in percent of a core. */
  loadedCpuPercent: number
  /** Largest resident memory of an entry host. */
  residentMegabytes: number
  serversFallen: number
  invariantViolations: number
  /** Goodput within deadline as a share of what was offered, per second of the run. */
  goodputPerSecond: number[]
}
