// The metrics of a whole cluster.
import { readMetrics } from './observeProcesses.js'
import type { Cluster } from './startCluster.js'

/** Metrics of all entry hosts, summed by name. */
export async function readAllMetrics ({ entryHosts, operatorKey }: Cluster): Promise<Map<string, number>> {
  const all = await Promise.all(entryHosts.map(({ planned }) => readMetrics(planned.metricsAddress, operatorKey)))
  return all.reduce((sums, metrics) => {
    metrics.forEach((value, name) => sums.set(name, (sums.get(name) ?? 0) + value))
    return sums
  }, new Map<string, number>())
}
