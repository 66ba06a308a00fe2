// Reads which bundle version each entry host has in force, by the address lookup that guests use.
import { callControl } from '@siskinbeam/bench/cluster/callControl'
import type { Cluster } from '@siskinbeam/bench/cluster/startCluster'

/** Version in force on one entry host; null if it has none or does not answer. */
export interface HostVersion {
  host: string
  version: number | null
}

const pollMilliseconds = 20

/** Reads the versions of all entry hosts that run. */
export function readVersions ({ entryHosts }: Cluster): Promise<HostVersion[]> {
  return Promise.all(entryHosts.filter(({ process }) => process.running()).map(async ({ planned }) => {
    const answer = await callControl(planned.guestAddress, 'GET', '/.siskinbeam/addresses') as { bundleVersion?: number | null } | undefined
    return { host: planned.name, version: answer?.bundleVersion ?? null }
  }))
}

/** Waits until every entry host has the version, or until the limit. Gives the milliseconds taken, undefined past the limit. */
export async function waitForVersion (cluster: Cluster, version: number, limitMilliseconds: number, startedAt = performance.now()): Promise<number | undefined> {
  const versions = await readVersions(cluster)
  const elapsed = performance.now() - startedAt
  if (versions.every(found => found.version === version)) return Math.round(elapsed)
  if (elapsed > limitMilliseconds) return undefined
  await new Promise(resolve => setTimeout(resolve, pollMilliseconds))
  return waitForVersion(cluster, version, limitMilliseconds, startedAt)
}
