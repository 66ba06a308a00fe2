// What a run is told, and what it samples of its processes.
import type { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import type { FaultName } from './faults/faultName.js'
import type { Workload } from './workload.js'

export interface RunExperimentOptions {
  workload: Workload
  policy: LoadBalancingPolicy
  seed: number
  seconds: number
  load: number
  fault: FaultName
  entryHosts: number
  probesPerRequest?: number
  /** Off to measure the time that an entry host adds, which a hedge would hide. */
  hedging?: boolean
}

/** Processor time and memory of the entry hosts over a time. */
export interface ProcessSample {
  busiestPercent: number
  residentMegabytes: number
}
