// State of the rollout machine of one host, and what other parts of the host read of it.
import type { TrustedKeys } from '@siskinbeam/signatures/signingKeys'
import type { SignedBundle } from '@siskinbeam/signatures/signedBundle'
import type { VerifiedBundle } from '@siskinbeam/signatures/verifySignedBundle'
import { SignerRole } from '@siskinbeam/signatures/signedBundle'
import type { BundleHead } from './bundleStores.js'
import type { SeenBundle } from './bundleHistory.js'
import type { BodyOrigin } from './rolloutMessages.js'

/** A gap between two steps that counts as a pause of the process. */
export const pauseThresholdMilliseconds = 1_000

/** A bundle that is newer than the one in force and not fetched yet. */
export interface Candidate extends BundleHead {
  /** Named by the head of the table; otherwise only by peers. */
  fromHead: boolean
  /** Peers that announced it. */
  peers: Set<string>
  /** Until when an origin is left alone, by its key. */
  blockedUntil: Map<string, number>
}

/** A body that is being fetched. */
export interface BodyFetch {
  requested: BundleHead
  origin: BodyOrigin
  since: number
}

export enum InquiryReason {
  Boot = 'boot',
  Pause = 'pause'
}

/** A question to store and peers for the present version, during which the host does not serve. */
export interface Inquiry {
  reason: InquiryReason
  since: number
  /** Answers with a lower request number are older than the inquiry. */
  firstRequest: number
  askAgainAt: number
  headAnswered: boolean
  headFailed: boolean
  /** The object store did not give the body that the head names. */
  bodyFailed: boolean
  /** Versions that peers gave; null from a peer without a bundle. */
  answers: Map<string, BundleHead | null>
}

/** Changed only by `stepRollout`. Times are monotonic milliseconds. */
export interface RolloutState {
  readonly trustedKeys: TrustedKeys
  inForce?: VerifiedBundle
  /** The head as last read. */
  head?: BundleHead
  peers: string[]
  listedHosts: number
  steppedAt: number
  lastRequest: number
  headRead: { nextAt: number, pending?: { request: number, since: number }, failed: boolean, answeredAt: number }
  peerHeardAt: number
  isolatedSince?: number
  inquiry?: Inquiry
  candidates: Candidate[]
  fetch?: BodyFetch
  seen: SeenBundle[]
}

export interface CreateRolloutStateOptions {
  trustedKeys: TrustedKeys
  /** Monotonic milliseconds. */
  now: number
}

/** Creates the state of a host that has just started and has no bundle. */
export function createRolloutState ({ trustedKeys, now }: CreateRolloutStateOptions): RolloutState {
  return {
    trustedKeys,
    peers: [],
    listedHosts: 0,
    steppedAt: now,
    lastRequest: 0,
    headRead: { nextAt: now, failed: false, answeredAt: now },
    peerHeardAt: now,
    inquiry: createInquiry(InquiryReason.Boot, now, 1),
    candidates: [],
    seen: []
  }
}

/** Starts a question for the present version. */
export function createInquiry (reason: InquiryReason, now: number, firstRequest: number): Inquiry {
  return { reason, since: now, firstRequest, askAgainAt: now, headAnswered: false, headFailed: false, bodyFailed: false, answers: new Map() }
}

/**
 * Whether the host may take requests: it has a bundle, and it has asked for the present version if it
 * was paused. `now` catches a request that arrives after a pause and before the first step.
 */
export function mayServe (state: RolloutState, now: number): boolean {
  return state.inForce !== undefined && state.inquiry === undefined && now - state.steppedAt <= pauseThresholdMilliseconds
}

/** The document that a peer is given when it asks for at least this version, undefined if this host has only an older one. */
export function findDocument (state: RolloutState, version: number): SignedBundle | undefined {
  return state.inForce !== undefined && state.inForce.bundle.version >= version ? state.inForce.document : undefined
}

/** Version and digest in force, undefined before the first bundle. */
export function readHeadInForce (state: RolloutState): BundleHead | undefined {
  return state.inForce === undefined ? undefined : { version: state.inForce.bundle.version, digest: state.inForce.digest }
}

/** What operators see of the machine in `status`, `dump` and metrics. */
export interface RolloutStatus {
  inForce?: BundleHead & { name: string, author: string, approver: string }
  head?: BundleHead
  serving: boolean
  /** How long neither store nor peer has been heard, absent if one is. */
  isolatedMilliseconds?: number
  /** Newer bundles that are known and could not be fetched yet. */
  wanted: BundleHead[]
  seen: SeenBundle[]
}

/** Describes the machine for operators. */
export function readRolloutStatus (state: RolloutState, now: number): RolloutStatus {
  const { inForce } = state
  return {
    inForce: inForce === undefined
      ? undefined
      : { version: inForce.bundle.version, digest: inForce.digest, name: inForce.bundle.name, author: inForce.signers[SignerRole.Author], approver: inForce.signers[SignerRole.Approver] },
    head: state.head,
    serving: mayServe(state, now),
    isolatedMilliseconds: state.isolatedSince === undefined ? undefined : now - state.isolatedSince,
    wanted: state.candidates.map(({ version, digest }) => ({ version, digest })),
    seen: state.seen
  }
}
