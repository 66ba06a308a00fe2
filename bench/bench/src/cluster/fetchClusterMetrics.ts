// Fetches the metrics of a cluster.
import { fetchMetrics } from './observeProcesses.js'
import type { Cluster } from './startCluster.js'

/** Fetches the metrics of all entry hosts, summed by name. */
export async function fetchClusterMetrics ({ entryHosts, operatorKey }: Cluster): Promise<Map<string, number>> {
  const all = await Promise.all(entryHosts.map(({ planned }) => fetchMetrics(planned.metricsAddress, operatorKey)))
  return all.reduce((sums, metrics) => {
    metrics.forEach((value, name) => sums.set(name, (sums.get(name) ?? 0) + value))
    return sums
  }, new Map<string, number>())
}
