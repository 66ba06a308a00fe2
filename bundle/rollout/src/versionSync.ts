// Determines the current bundle version before a host serves, after a start and after a pause of the process.
import type { BundleHead } from './bundleStores.js'
import { addCandidate } from './candidates.js'
import { getActiveHead, type VersionSync, type RolloutState } from './rolloutState.js'

const peerQuorum = 2
// A host that has a bundle but can reach neither store nor peers serves after this time. Otherwise it would
// refuse all guests because of a change that it has no means to detect.
const versionSyncTimeoutMilliseconds = 1_000

/** Completes the sync if it has enough responses, otherwise adds the reported bundles as candidates. Returns the sync while it is in progress. */
export function advanceVersionSync (state: RolloutState, now: number): VersionSync | undefined {
  const { versionSync } = state
  if (versionSync === undefined) return undefined
  if (isFinished(state, versionSync, now)) return endVersionSync(state)
  const headFromTable = versionSync.headReadSucceeded ? state.head : undefined
  const headFromPeers = mayUsePeerVersions(state, versionSync) ? findNewestHead(versionSync) : undefined
  const heads = [headFromTable, headFromPeers].filter(head => head !== undefined)
  heads.forEach(head => listPeersReporting(versionSync, head).forEach(peer => addCandidate(state, head, peer)))
  return versionSync
}

function isFinished (state: RolloutState, versionSync: VersionSync, now: number): boolean {
  const activeHead = getActiveHead(state)
  if (activeHead === undefined) return false
  const highestReportedVersion = Math.max(findNewestHead(versionSync)?.version ?? 0, versionSync.headReadSucceeded ? state.head?.version ?? 0 : 0)
  const hasEnoughResponses = versionSync.headReadSucceeded || hasPeerQuorum(state, versionSync)
  return (hasEnoughResponses && activeHead.version >= highestReportedVersion) || now - versionSync.since > versionSyncTimeoutMilliseconds
}

// A host that starts prefers the store. It uses the versions of peers if the store is unavailable, if the
// table has no head, or if the body that the head names cannot be fetched. Without the last case, a host
// that starts after a rollout and during an outage of the object store would have no bundle at all.
function mayUsePeerVersions (state: RolloutState, versionSync: VersionSync): boolean {
  const storeNamesBundle = versionSync.headReadSucceeded && state.head !== undefined && !versionSync.bodyFetchFailed
  const isBundleUnavailableFromStore = (versionSync.headReadFailed || versionSync.headReadSucceeded) && !storeNamesBundle
  return state.activeBundle !== undefined || (isBundleUnavailableFromStore && hasPeerQuorum(state, versionSync))
}

function endVersionSync (state: RolloutState): undefined {
  state.versionSync = undefined
}

// A peer without a bundle gives no information about the current version, so it does not count towards the quorum.
// The alternative, responses of all known peers, includes suspected peers and those on the host list:
// otherwise a host that is partitioned from all peers but one would rely on that single peer.
function hasPeerQuorum ({ peers, listedHosts }: RolloutState, { peerHeads }: VersionSync): boolean {
  const responsesWithBundle = [...peerHeads.values()].filter(head => head !== null).length
  const allPeersResponded = peers.length > 0 && peers.every(peer => peerHeads.has(peer)) && peerHeads.size >= listedHosts - 1
  return responsesWithBundle >= peerQuorum || allPeersResponded
}

function findNewestHead ({ peerHeads }: VersionSync): BundleHead | undefined {
  return [...peerHeads.values()].reduce<BundleHead | undefined>((newest, head) =>
    head !== null && head.version > (newest?.version ?? 0) ? head : newest, undefined)
}

function listPeersReporting ({ peerHeads }: VersionSync, { version, digest }: BundleHead): string[] {
  return [...peerHeads].filter(([, head]) => head?.version === version && head.digest === digest).map(([peer]) => peer)
}
