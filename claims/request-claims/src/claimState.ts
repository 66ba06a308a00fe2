// The state of one claim and the questions that the request path asks it.
import { StoreOutageRule } from '@siskinbeam/schema/bundle'
import { formatAttempt, formatClaimKey, type AttemptId, type StoredAnswer } from './claimRow.js'
import type { ClaimWriteKind } from './claimMessages.js'

/** Assumed error between the clocks of hosts and the table service, added to the lease. */
export const clockErrorMilliseconds = 500
/** Larger bodies are not stored: a row of the table service is meant for small values. */
export const maximumStoredBodyBytes = 16_384
export const defaultTableAnswerMilliseconds = 300
export const shortestPollMilliseconds = 50
export const longestPollMilliseconds = 800

/** Where a claim stands. */
export enum ClaimPhase {
  /** The write of the claim is outstanding. */
  Claiming = 'claiming',
  /** Another attempt holds the key; the next read is scheduled. */
  Polling = 'polling',
  /** A read is outstanding. */
  Reading = 'reading',
  /** The write that marks an expired claim of another attempt is outstanding. */
  Abandoning = 'abandoning',
  /** The claim is ours and may be sent. */
  Holding = 'holding',
  /** The request was sent and may have run. */
  Sent = 'sent',
  /** The last write of the claim is outstanding or is to be repeated. */
  Finishing = 'finishing',
  Done = 'done'
}

export interface CreateClaimStateOptions {
  service: string
  idempotencyKey: string
  attempt: AttemptId
  /** Digest of method, path and body. */
  fingerprint: string
  /** Value of `siskinbeam-attempt`, if the guest sent it. */
  guestAttempt?: number
  /** The request's deadline in monotonic milliseconds of this host. */
  sendBy: number
  /** Table service's epoch milliseconds minus monotonic milliseconds, as estimated by this host. */
  tableTimeOffsetMilliseconds: number
  recordLifetimeMilliseconds: number
  storeOutage?: StoreOutageRule
  /** How long the table service may take before the outage rule `refuse` applies. */
  tableAnswerMilliseconds?: number
}

/** The last write of a claim. */
export interface FinalWrite {
  kind: ClaimWriteKind.Release | ClaimWriteKind.Settle | ClaimWriteKind.Abandon
  answer?: StoredAnswer
}

/** State of one claim; changed only by `stepClaim`. */
export interface ClaimState {
  readonly options: Readonly<Required<Omit<CreateClaimStateOptions, 'guestAttempt'>>> & { readonly guestAttempt?: number }
  readonly attempt: string
  readonly key: string
  phase: ClaimPhase
  /** The guest got its answer, or left. */
  answered: boolean
  /** The claim was confirmed to be ours. */
  held: boolean
  /** A row of another attempt was seen. */
  foreignRowSeen: boolean
  /** Version that the next write expects. */
  version: number | null
  /** `guestAttempt` of the released row that is being claimed. */
  releasedAttempt: number
  /** When the outage rule applies to the outstanding write or read. */
  storeAnswerBy: number
  pollMilliseconds: number
  outstanding?: { writeId: string, kind: ClaimWriteKind }
  final?: FinalWrite
  writes: number
}

/** Creates the state of one request. The first event is `Start`. */
export function createClaimState (options: CreateClaimStateOptions): ClaimState {
  return {
    options: {
      ...options,
      storeOutage: options.storeOutage ?? StoreOutageRule.Refuse,
      tableAnswerMilliseconds: options.tableAnswerMilliseconds ?? defaultTableAnswerMilliseconds
    },
    attempt: formatAttempt(options.attempt),
    key: formatClaimKey(options.service, options.idempotencyKey),
    phase: ClaimPhase.Claiming,
    answered: false,
    held: false,
    foreignRowSeen: false,
    version: null,
    releasedAttempt: 0,
    storeAnswerBy: Infinity,
    pollMilliseconds: shortestPollMilliseconds,
    writes: 0
  }
}

/**
 * Whether the first byte may be written to a server now. Asked immediately before the write, because
 * the host may have been paused since the claim was confirmed.
 */
export function maySend ({ state, now }: { state: ClaimState, now: number }): boolean {
  return state.phase === ClaimPhase.Holding && now < state.options.sendBy
}
