// Options of a benchmark run, and the resource usage that it samples from its processes.
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
  /** False to measure the latency that an entry host adds, which hedged requests would hide. */
  hedging?: boolean
}

/** Maximum over the entry hosts of CPU usage during an interval, in percent of a core, and of resident memory at its end. */
export interface ProcessSample {
  maximumCpuPercent: number
  residentMegabytes: number
}
