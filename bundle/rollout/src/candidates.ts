// Tracks newer bundles that are not fetched yet, and selects the next one to fetch and its origin. One
// body is fetched at a time. After a failure an origin is in backoff, so that neither an unresponsive peer
// nor a forged announcement delays the bundle that the head names.
import { pickIndex, type Random } from '@siskinbeam/random/createRandom'
import type { BundleHead } from './bundleStores.js'
import { formatOrigin } from './bundleHistory.js'
import { BodySource, type BodyOrigin } from './rolloutMessages.js'
import { getActiveHead, type BodyFetch, type Candidate, type RolloutState } from './rolloutState.js'

// Allows several attempts within the 5 s in which a bundle must be active on all hosts.
export const fetchTimeoutMilliseconds = 800
const failureBackoffMilliseconds = 500
// A refused document stays invalid until an operator submits it again.
const refusalBackoffMilliseconds = 2_000
// Each peer announces one bundle at a time, and only a few versions circulate at once.
const maximumCandidates = 64

/** Whether a bundle is newer than the active one. */
export function isNewer (state: RolloutState, head: BundleHead): boolean {
  return head.version > (getActiveHead(state)?.version ?? 0)
}

/** Adds a bundle that the head or `peer` announced. Returns the candidate, or undefined if it is not newer than the active bundle. */
export function addCandidate (state: RolloutState, head: BundleHead, peer?: string): Candidate | undefined {
  if (!isNewer(state, head)) return undefined
  const known = state.candidates.find(({ version, digest }) => version === head.version && digest === head.digest)
  const candidate = known ?? { version: head.version, digest: head.digest, fromHead: false, peers: new Set<string>(), backoffUntil: new Map<string, number>() }
  if (peer === undefined) {
    state.candidates.forEach(other => { other.fromHead = false })
    candidate.fromHead = true
  } else {
    state.candidates.forEach(other => other.peers.delete(peer))
    candidate.peers.add(peer)
  }
  if (known === undefined) state.candidates.push(candidate)
  pruneCandidates(state)
  return candidate
}

/** Removes candidates that are not newer than the active bundle, and those that neither the head nor a peer announces any more. */
export function pruneCandidates (state: RolloutState): void {
  state.candidates = state.candidates
    .filter(candidate => isNewer(state, candidate) && (candidate.fromHead || candidate.peers.size > 0))
    .filter((candidate, position, all) => candidate.fromHead || position >= all.length - maximumCandidates)
}

/** Starts the backoff of an origin for one bundle. The version reported by a peer whose document was refused is discarded. */
export function backOffOrigin (state: RolloutState, { requested, origin }: Pick<BodyFetch, 'requested' | 'origin'>, now: number, refused: boolean): void {
  const candidate = state.candidates.find(({ version, digest }) => version === requested.version && digest === requested.digest)
  candidate?.backoffUntil.set(formatOrigin(origin), now + (refused ? refusalBackoffMilliseconds : failureBackoffMilliseconds))
  if (state.versionSync === undefined) return
  if (!('peer' in origin)) state.versionSync.bodyFetchFailed = true
  else if (refused) state.versionSync.peerHeads.delete(origin.peer)
}

/** Selects the next body to fetch: first the bundle that the head names, then the newest. */
export function selectFetch (state: RolloutState, now: number, random: Random): BodyFetch | undefined {
  const fetches = [...state.candidates]
    .sort((first, second) => Number(second.fromHead) - Number(first.fromHead) || second.version - first.version)
    .flatMap(candidate => {
      const origin = selectOrigin(candidate, now, random)
      return origin === undefined ? [] : [{ requested: { version: candidate.version, digest: candidate.digest }, origin, since: now }]
    })
  return fetches[0]
}

function selectOrigin (candidate: Candidate, now: number, random: Random): BodyOrigin | undefined {
  const store: BodyOrigin = { source: BodySource.Store }
  const isAvailable = (origin: BodyOrigin): boolean => (candidate.backoffUntil.get(formatOrigin(origin)) ?? 0) <= now
  // Only peers that announced the bundle are used. Fetching from all other peers in turn as well, with 14
  // of them, would block the fetch of any other bundle for 5 s.
  const availablePeers = [...candidate.peers].map((peer): BodyOrigin => ({ source: BodySource.Peer, peer })).filter(isAvailable)
  const peerOrigins = availablePeers.slice(pickIndex(random, availablePeers.length))
  const storeOrigins = isAvailable(store) ? [store] : []
  return (candidate.fromHead ? [...storeOrigins, ...peerOrigins] : [...peerOrigins, ...storeOrigins])[0]
}
