// Moves the head to a new bundle by a conditional write. Each attempt reads the head again, so that a lost
// response is handled in the same way as a conflicting write: the head decides which rollout succeeded.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import type { BundleHead, HeadStore, RolloutRecord } from '@siskinbeam/rollout/bundleStores'
import { SignerRole } from '@siskinbeam/signatures/signedBundle'
import type { VerifiedBundle } from '@siskinbeam/signatures/verifySignedBundle'

const maximumAttempts = 6
const initialDelayMilliseconds = 200
const retryableCodes = [ResultCode.TableUnavailable, ResultCode.TableRateLimited]

export interface RollOutBundleOptions {
  verified: VerifiedBundle
  headStore: HeadStore
  /** Milliseconds. */
  wait: (milliseconds: number) => Promise<void>
  /** Time of the rollout by the clock of this machine, ISO 8601. */
  rolledOutAt: string
}

/**
 * Rolls out a bundle and returns the head, which may be a later bundle by then. Fails with BundleHeadMoved,
 * which states the version of the current head, and with TableUnavailable if it is still unknown after the
 * last attempt whether the write took effect.
 */
export async function rollOutBundle (options: RollOutBundleOptions): Promise<Result<BundleHead>> {
  return attemptWithRetries(options, 1)
}

async function attemptWithRetries (options: RollOutBundleOptions, attempt: number): Promise<Result<BundleHead>> {
  const result = await attemptOnce(options)
  if (result.ok || !retryableCodes.includes(result.error.code)) return result
  if (attempt === maximumAttempts) {
    return fail(ResultCode.TableUnavailable, 'the table service does not answer; the rollout may have taken effect', { key: 'table-address', expected: 'check "siskinbeamctl bundle status" before another rollout' })
  }
  await options.wait(initialDelayMilliseconds * 2 ** (attempt - 1))
  return attemptWithRetries(options, attempt + 1)
}

async function attemptOnce ({ verified, headStore, rolledOutAt }: RollOutBundleOptions): Promise<Result<BundleHead>> {
  const { name, version, previousDigest } = verified.bundle
  const next: BundleHead = { version, digest: verified.digest }
  const stored = await headStore.readHead()
  if (!stored.ok) return stored
  const { head, revision } = stored.value
  const followsHead = (head?.version ?? 0) === version - 1 && (head?.digest ?? null) === previousDigest
  if (!followsHead) return resolveHead(headStore, head, next)
  const record: RolloutRecord = { ...next, name, previousDigest, author: verified.signers[SignerRole.Author], approver: verified.signers[SignerRole.Approver], rolledOutAt }
  const move = await headStore.moveHead(revision, record)
  if (!move.ok) return move
  return move.value.moved ? succeed(next) : resolveHead(headStore, move.value.found.head, next)
}

async function resolveHead (headStore: HeadStore, head: BundleHead | null, next: BundleHead): Promise<Result<BundleHead>> {
  if (head?.version === next.version && head.digest === next.digest) return succeed(next)
  if (head !== null && head.version > next.version) {
    // This bundle may have been the head and then been superseded.
    const records = await headStore.readRecords([next.version])
    if (!records.ok) return records
    if (records.value[0]?.digest === next.digest) return succeed(head)
  }
  const found = head === null ? 'no bundle is rolled out' : `version ${head.version} (digest ${head.digest}) is rolled out`
  return fail(ResultCode.BundleHeadMoved, `${found}, so version ${next.version} cannot be rolled out`, {
    key: 'bundle/head', expected: `version ${(head?.version ?? 0) + 1} with previousDigest ${head?.digest ?? null}`
  })
}
