// State of the rollout state machine of one host, and the functions by which other parts of the host read it.
import type { TrustedKeys } from '@siskinbeam/signatures/signingKeys'
import type { SignedBundle } from '@siskinbeam/signatures/signedBundle'
import type { VerifiedBundle } from '@siskinbeam/signatures/verifySignedBundle'
import { SignerRole } from '@siskinbeam/signatures/signedBundle'
import type { BundleHead } from './bundleStores.js'
import type { BundleHistoryEntry } from './bundleHistory.js'
import type { BodyOrigin } from './rolloutMessages.js'

/** A longer gap between two steps counts as a pause of the process. */
export const pauseThresholdMilliseconds = 1_000

/** A bundle that is newer than the active one and not fetched yet. */
export interface Candidate extends BundleHead {
  /** Whether the head of the table names it; otherwise only peers announced it. */
  fromHead: boolean
  /** Peers that announced it. */
  peers: Set<string>
  /** End of the backoff of each origin, by the key that `formatOrigin` returns. */
  backoffUntil: Map<string, number>
}

/** A fetch of a body in progress. */
export interface BodyFetch {
  requested: BundleHead
  origin: BodyOrigin
  since: number
}

export enum VersionSyncReason {
  Boot = 'boot',
  Pause = 'pause'
}

/** Queries store and peers for the current version. The host does not serve while a sync is in progress. */
export interface VersionSync {
  reason: VersionSyncReason
  since: number
  /** Responses with a lower request number are older than the sync. */
  firstRequest: number
  nextQueryAt: number
  headReadSucceeded: boolean
  headReadFailed: boolean
  /** Whether the fetch of the body that the head names failed at the object store. */
  bodyFetchFailed: boolean
  /** Heads reported by peers; null from a peer without a bundle. */
  peerHeads: Map<string, BundleHead | null>
}

/** Modified only by `stepRollout`. Times are in monotonic milliseconds. */
export interface RolloutState {
  readonly trustedKeys: TrustedKeys
  activeBundle?: VerifiedBundle
  /** The head as last read. */
  head?: BundleHead
  peers: string[]
  listedHosts: number
  lastStepAt: number
  lastRequestNumber: number
  headRead: { nextAt: number, pending?: { request: number, since: number }, failed: boolean, lastSuccessAt: number }
  lastPeerMessageAt: number
  isolatedSince?: number
  versionSync?: VersionSync
  candidates: Candidate[]
  pendingFetch?: BodyFetch
  history: BundleHistoryEntry[]
}

export interface CreateRolloutStateOptions {
  trustedKeys: TrustedKeys
  /** Monotonic milliseconds. */
  now: number
}

/** Creates the state of a host that has started and has no bundle. */
export function createRolloutState ({ trustedKeys, now }: CreateRolloutStateOptions): RolloutState {
  return {
    trustedKeys,
    peers: [],
    listedHosts: 0,
    lastStepAt: now,
    lastRequestNumber: 0,
    headRead: { nextAt: now, failed: false, lastSuccessAt: now },
    lastPeerMessageAt: now,
    versionSync: createVersionSync(VersionSyncReason.Boot, now, 1),
    candidates: [],
    history: []
  }
}

/** Creates a sync without responses; the first query of peers is due immediately. */
export function createVersionSync (reason: VersionSyncReason, now: number, firstRequest: number): VersionSync {
  return { reason, since: now, firstRequest, nextQueryAt: now, headReadSucceeded: false, headReadFailed: false, bodyFetchFailed: false, peerHeads: new Map() }
}

/**
 * Whether the host may serve requests: it has an active bundle, and after a pause it has synchronized the
 * version. `now` covers a request that arrives after a pause and before the first step.
 */
export function mayServe (state: RolloutState, now: number): boolean {
  return state.activeBundle !== undefined && state.versionSync === undefined && now - state.lastStepAt <= pauseThresholdMilliseconds
}

/** Returns the active document if it has at least this version, otherwise undefined. Used to respond to peers. */
export function findActiveDocument (state: RolloutState, version: number): SignedBundle | undefined {
  return state.activeBundle !== undefined && state.activeBundle.bundle.version >= version ? state.activeBundle.document : undefined
}

/** Returns version and digest of the active bundle, undefined before the first bundle. */
export function getActiveHead (state: RolloutState): BundleHead | undefined {
  return state.activeBundle === undefined ? undefined : { version: state.activeBundle.bundle.version, digest: state.activeBundle.digest }
}

/** Status of the state machine for operators, as shown by `status`, `dump` and metrics. */
export interface RolloutStatus {
  inForce?: BundleHead & { name: string, author: string, approver: string }
  head?: BundleHead
  serving: boolean
  /** Time since the last response of the store or message of a peer, absent unless the host is isolated. */
  isolatedMilliseconds?: number
  /** Newer bundles that are known but not fetched yet. */
  wanted: BundleHead[]
  seen: BundleHistoryEntry[]
}

/** Builds the status of the state machine for operators. */
export function getRolloutStatus (state: RolloutState, now: number): RolloutStatus {
  const { activeBundle } = state
  return {
    inForce: activeBundle === undefined
      ? undefined
      : { version: activeBundle.bundle.version, digest: activeBundle.digest, name: activeBundle.bundle.name, author: activeBundle.signers[SignerRole.Author], approver: activeBundle.signers[SignerRole.Approver] },
    head: state.head,
    serving: mayServe(state, now),
    isolatedMilliseconds: state.isolatedSince === undefined ? undefined : now - state.isolatedSince,
    wanted: state.candidates.map(({ version, digest }) => ({ version, digest })),
    seen: state.history
  }
}
