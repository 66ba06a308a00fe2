// The state of one claim, and the check that the request path makes before it sends.
import { StoreOutagePolicy } from '@siskinbeam/schema/bundle'
import { formatAttempt, formatClaimKey, type AttemptId, type StoredResponse } from './claimRow.js'
import type { ClaimWriteKind } from './claimMessages.js'

/** Assumed maximum clock difference between a host and the table service; added to the lease. */
export const clockErrorMilliseconds = 500
/** Larger bodies are not stored, because rows of the table service are intended for small values. */
export const maximumStoredBodyBytes = 16_384
export const defaultTableTimeoutMilliseconds = 300
export const initialPollMilliseconds = 50
export const maximumPollMilliseconds = 800

/** Phase of a claim. */
export enum ClaimPhase {
  /** The write that claims the key is outstanding. */
  Claiming = 'claiming',
  /** Another attempt holds the claim; the next read is scheduled. */
  Polling = 'polling',
  /** A read is outstanding. */
  Reading = 'reading',
  /** The write that marks an expired claim of another attempt as abandoned is outstanding. */
  Abandoning = 'abandoning',
  /** This attempt holds the claim and may send the request. */
  Holding = 'holding',
  /** The request was sent and may have run. */
  Sent = 'sent',
  /** The final write of the claim is outstanding or waits for a retry. */
  Finishing = 'finishing',
  Done = 'done'
}

export interface CreateClaimStateOptions {
  service: string
  idempotencyKey: string
  attempt: AttemptId
  /** Digest of the request's method, path and body. */
  fingerprint: string
  /** Value of the header `siskinbeam-attempt`, if the guest sent it. */
  guestAttempt?: number
  /** Deadline of the request in monotonic milliseconds of this host. */
  sendBy: number
  /** Epoch time of the table service minus the monotonic time of this host, in milliseconds, as estimated by this host. */
  tableTimeOffsetMilliseconds: number
  recordLifetimeMilliseconds: number
  storeOutage?: StoreOutagePolicy
  /** Time in which the table service must answer before the outage policy `refuse` applies. */
  tableAnswerMilliseconds?: number
}

/** The final write of a claim. */
export interface FinalWrite {
  kind: ClaimWriteKind.Release | ClaimWriteKind.Settle | ClaimWriteKind.Abandon
  answer?: StoredResponse
}

/** State of one claim; modified only by `stepClaim`. */
export interface ClaimState {
  readonly options: Readonly<Required<Omit<CreateClaimStateOptions, 'guestAttempt'>>> & { readonly guestAttempt?: number }
  readonly attempt: string
  readonly key: string
  phase: ClaimPhase
  /** The guest received a response, or closed its connection. */
  answered: boolean
  /** The table service confirmed that this attempt holds the claim. */
  held: boolean
  /** A row of another attempt was found. */
  otherAttemptSeen: boolean
  /** Row version that the next write expects. */
  version: number | null
  /** `guestAttempt` of the released row that this attempt claims; 0 if the row was absent. */
  releasedAttempt: number
  /** Time at which the outage policy applies to the outstanding write or read, in monotonic milliseconds. */
  storeTimeoutAt: number
  pollMilliseconds: number
  outstandingWrite?: { writeId: string, kind: ClaimWriteKind }
  finalWrite?: FinalWrite
  writes: number
}

/** Creates the state of one claim. The first event must be `Start`. */
export function createClaimState (options: CreateClaimStateOptions): ClaimState {
  return {
    options: {
      ...options,
      storeOutage: options.storeOutage ?? StoreOutagePolicy.Refuse,
      tableAnswerMilliseconds: options.tableAnswerMilliseconds ?? defaultTableTimeoutMilliseconds
    },
    attempt: formatAttempt(options.attempt),
    key: formatClaimKey(options.service, options.idempotencyKey),
    phase: ClaimPhase.Claiming,
    answered: false,
    held: false,
    otherAttemptSeen: false,
    version: null,
    releasedAttempt: 0,
    storeTimeoutAt: Infinity,
    pollMilliseconds: initialPollMilliseconds,
    writes: 0
  }
}

/**
 * Whether the first byte of the request may be written to a server now. Call it immediately before the
 * write, because the host may have been paused since the claim was confirmed.
 */
export function maySend ({ state, now }: { state: ClaimState, now: number }): boolean {
  return state.phase === ClaimPhase.Holding && now < state.options.sendBy
}
