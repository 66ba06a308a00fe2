// Fetches the bundle version in force on each entry host, from the address lookup that guests use.
import { sendJsonRequest } from '@siskinbeam/bench/cluster/sendJsonRequest'
import type { Cluster } from '@siskinbeam/bench/cluster/startCluster'

/** Bundle version in force on an entry host; null if it has none or does not answer. */
export interface HostVersion {
  host: string
  version: number | null
}

const pollMilliseconds = 20

/** Fetches the bundle versions of all running entry hosts. */
export function fetchBundleVersions ({ entryHosts }: Cluster): Promise<HostVersion[]> {
  return Promise.all(entryHosts.filter(({ process }) => process.isRunning()).map(async ({ planned }) => {
    const response = await sendJsonRequest(planned.guestAddress, 'GET', '/.siskinbeam/addresses') as { bundleVersion?: number | null } | undefined
    return { host: planned.name, version: response?.bundleVersion ?? null }
  }))
}

/** Waits until every entry host has the version in force. Returns the elapsed milliseconds; undefined if the limit passed first. */
export async function waitForBundleVersion (cluster: Cluster, version: number, limitMilliseconds: number, startedAt = performance.now()): Promise<number | undefined> {
  const versions = await fetchBundleVersions(cluster)
  const elapsed = performance.now() - startedAt
  if (versions.every(found => found.version === version)) return Math.round(elapsed)
  if (elapsed > limitMilliseconds) return undefined
  await new Promise(resolve => setTimeout(resolve, pollMilliseconds))
  return waitForBundleVersion(cluster, version, limitMilliseconds, startedAt)
}
