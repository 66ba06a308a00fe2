// Interfaces of the storage of bundles, as the operators' command and the daemon use it. The head and the
// history are rows of the table service, the bodies are objects of the object store.
import type { Result } from '@siskinbeam/result-codes/codedError'

/** Identifies the bundle that all hosts must activate. */
export interface BundleHead {
  version: number
  /** SHA-256 of the body, 64 hexadecimal digits. */
  digest: string
}

/** The head as read. `revision` is the row version in the table, null if the row does not exist yet. */
export interface StoredHead {
  head: BundleHead | null
  revision: number | null
}

/** History record of one rollout. */
export interface RolloutRecord extends BundleHead {
  name: string
  previousDigest: string | null
  /** Public keys, base64 of the raw key. */
  author: string
  approver: string
  /** ISO 8601, by the clock of the operator's machine; informative only. */
  rolledOutAt: string
}

/** Result of a compare-and-set on the head: `moved`, or the current head if the condition failed. */
export type HeadMove = { moved: true } | { moved: false, found: StoredHead }

export interface HeadStore {
  /** Fails with TableUnavailable or TableRateLimited. */
  readHead: () => Promise<Result<StoredHead>>
  /**
   * Writes the head and the history record in one transaction, on condition that the head row still has
   * `revision`. After TableUnavailable the write may have taken effect.
   */
  moveHead: (revision: number | null, record: RolloutRecord) => Promise<Result<HeadMove>>
  /** Returns the existing records of these versions, in the order requested. */
  readRecords: (versions: number[]) => Promise<Result<RolloutRecord[]>>
}

export interface BodyStore {
  /** Stores a signed bundle document under its digest and replaces an existing one. Fails with ObjectStoreUnavailable. */
  putBody: (digest: string, bytes: Uint8Array) => Promise<Result<void>>
  /** Fails with BundleNotFound or ObjectStoreUnavailable. */
  getBody: (digest: string) => Promise<Result<Uint8Array>>
}

/** Key of the table row that holds the head. */
export const headKey = 'bundle/head'

/** Key of the table row that records the rollout of a version. */
export function formatHistoryKey (version: number): string {
  return `bundle/history/${version}`
}

/** Key of a signed bundle document in the object store. */
export function formatBodyKey (digest: string): string {
  return `bundles/${digest}`
}
