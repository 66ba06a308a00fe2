// Bundles that a host has heard of and not fetched yet, and where to fetch the next one. One body is
// fetched at a time; an origin that failed is left alone for a while, so that neither a frozen peer
// nor a forged announcement can hold up the bundle that the head names.
import { pickIndex, type Random } from '@siskinbeam/random/createRandom'
import type { BundleHead } from './bundleStores.js'
import { describeOrigin } from './bundleHistory.js'
import { BodySource, type BodyOrigin } from './rolloutMessages.js'
import { readHeadInForce, type BodyFetch, type Candidate, type RolloutState } from './rolloutState.js'

// Several attempts must fit into the 5 s within which a bundle is in force everywhere.
export const fetchTimeoutMilliseconds = 800
const failureBlockMilliseconds = 500
// A refused document stays wrong until an operator submits it again.
const refusalBlockMilliseconds = 2_000
// Each peer announces one bundle at a time, and few are in circulation at once.
const maximumCandidates = 64

/** Whether a bundle is newer than the one in force. */
export function isNewer (state: RolloutState, head: BundleHead): boolean {
  return head.version > (readHeadInForce(state)?.version ?? 0)
}

/** Notes a bundle named by the head, or by `peer`. Returns the candidate, undefined if it is not newer. */
export function noteCandidate (state: RolloutState, head: BundleHead, peer?: string): Candidate | undefined {
  if (!isNewer(state, head)) return undefined
  const known = state.candidates.find(({ version, digest }) => version === head.version && digest === head.digest)
  const candidate = known ?? { version: head.version, digest: head.digest, fromHead: false, peers: new Set<string>(), blockedUntil: new Map<string, number>() }
  if (peer === undefined) {
    state.candidates.forEach(other => { other.fromHead = false })
    candidate.fromHead = true
  } else {
    state.candidates.forEach(other => other.peers.delete(peer))
    candidate.peers.add(peer)
  }
  if (known === undefined) state.candidates.push(candidate)
  dropCandidates(state)
  return candidate
}

/** Drops what is not newer than the bundle in force, and what nobody names any more. */
export function dropCandidates (state: RolloutState): void {
  state.candidates = state.candidates
    .filter(candidate => isNewer(state, candidate) && (candidate.fromHead || candidate.peers.size > 0))
    .filter((candidate, position, all) => candidate.fromHead || position >= all.length - maximumCandidates)
}

/** Leaves an origin of a bundle alone for a while; the answer of a peer whose document was refused no longer counts. */
export function blockOrigin (state: RolloutState, { requested, origin }: Pick<BodyFetch, 'requested' | 'origin'>, now: number, refused: boolean): void {
  const candidate = state.candidates.find(({ version, digest }) => version === requested.version && digest === requested.digest)
  candidate?.blockedUntil.set(describeOrigin(origin), now + (refused ? refusalBlockMilliseconds : failureBlockMilliseconds))
  if (state.inquiry === undefined) return
  if (!('peer' in origin)) state.inquiry.bodyFailed = true
  else if (refused) state.inquiry.answers.delete(origin.peer)
}

/** Chooses the next body to fetch: the bundle that the head names first, then the newest. */
export function chooseFetch (state: RolloutState, now: number, random: Random): BodyFetch | undefined {
  const choices = [...state.candidates]
    .sort((first, second) => Number(second.fromHead) - Number(first.fromHead) || second.version - first.version)
    .flatMap(candidate => {
      const origin = chooseOrigin(candidate, now, random)
      return origin === undefined ? [] : [{ requested: { version: candidate.version, digest: candidate.digest }, origin, since: now }]
    })
  return choices[0]
}

function chooseOrigin (candidate: Candidate, now: number, random: Random): BodyOrigin | undefined {
  const store: BodyOrigin = { source: BodySource.Store }
  const isFree = (origin: BodyOrigin): boolean => (candidate.blockedUntil.get(describeOrigin(origin)) ?? 0) <= now
  // Only peers that announced the bundle are asked. Asking the others in turn as well took so long with
  // 14 peers that no other bundle was fetched for 5 s.
  const holders = [...candidate.peers].map((peer): BodyOrigin => ({ source: BodySource.Peer, peer })).filter(isFree)
  const announced = holders.slice(pickIndex(random, holders.length))
  const stored = isFree(store) ? [store] : []
  return (candidate.fromHead ? [...stored, ...announced] : [...announced, ...stored])[0]
}
