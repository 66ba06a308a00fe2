// Where bundles are kept on the platform: the head and the history in the table service, the bodies
// in the object store. The interfaces are what the operators' command and the daemon need of it.
import type { Result } from '@siskinbeam/result-codes/codedError'

/** The bundle that is to be in force on all hosts. */
export interface BundleHead {
  version: number
  /** SHA-256 of the body, 64 hexadecimal digits. */
  digest: string
}

/** The head as read. `revision` is the table's version of the row, null if there is no row yet. */
export interface StoredHead {
  head: BundleHead | null
  revision: number | null
}

/** What the history keeps of one rollout. */
export interface RolloutRecord extends BundleHead {
  name: string
  previousDigest: string | null
  /** Public keys, base64 of the raw key. */
  author: string
  approver: string
  /** Clock of the operator's machine, ISO 8601; informative only. */
  rolledOutAt: string
}

/** Result of a conditional write: `moved`, or the head that was found instead. */
export type HeadMove = { moved: true } | { moved: false, found: StoredHead }

export interface HeadStore {
  /** Fails with TableUnavailable or TableRateLimited. */
  readHead: () => Promise<Result<StoredHead>>
  /**
   * Writes head and history record in one transaction if the head row still has `revision`. After
   * TableUnavailable the write may have taken effect.
   */
  moveHead: (revision: number | null, record: RolloutRecord) => Promise<Result<HeadMove>>
  /** The records of these versions that exist, in the order asked. */
  readRecords: (versions: number[]) => Promise<Result<RolloutRecord[]>>
}

export interface BodyStore {
  /** Stores a signed bundle document under its digest, replacing an earlier one. Fails with ObjectStoreUnavailable. */
  putBody: (digest: string, bytes: Uint8Array) => Promise<Result<void>>
  /** Fails with BundleNotFound or ObjectStoreUnavailable. */
  getBody: (digest: string) => Promise<Result<Uint8Array>>
}

/** Key of the table row that holds the head. */
export const headKey = 'bundle/head'

/** Key of the table row that records the rollout of a version. */
export function nameRecordKey (version: number): string {
  return `bundle/history/${version}`
}

/** Key of a signed bundle document in the object store. */
export function nameBodyKey (digest: string): string {
  return `bundles/${digest}`
}
