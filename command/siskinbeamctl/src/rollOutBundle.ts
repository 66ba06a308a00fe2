// Moves the head to a new bundle by a conditional write. Each attempt reads the head and decides anew,
// so that a lost response is settled in the same way as a lost race: whoever the head names has won.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import type { BundleHead, HeadStore, RolloutRecord } from '@siskinbeam/rollout/bundleStores'
import { SignerRole } from '@siskinbeam/signatures/signedBundle'
import type { VerifiedBundle } from '@siskinbeam/signatures/verifySignedBundle'

const maximumAttempts = 6
const firstDelayMilliseconds = 200
const undecidedCodes = [ResultCode.TableUnavailable, ResultCode.TableRateLimited]

export interface RollOutBundleOptions {
  verified: VerifiedBundle
  heads: HeadStore
  /** Milliseconds. */
  wait: (milliseconds: number) => Promise<void>
  /** Clock of this machine, ISO 8601. */
  rolledOutAt: string
}

/**
 * Rolls a bundle out and gives the head, which may be a later bundle by then. Fails with BundleHeadMoved, which names the version of the winner, and with
 * TableUnavailable if after several attempts it is not known whether the write took effect.
 */
export async function rollOutBundle (options: RollOutBundleOptions): Promise<Result<BundleHead>> {
  return attempt(options, 1)
}

async function attempt (options: RollOutBundleOptions, count: number): Promise<Result<BundleHead>> {
  const result = await tryOnce(options)
  if (result.ok || !undecidedCodes.includes(result.error.code)) return result
  if (count === maximumAttempts) {
    return fail(ResultCode.TableUnavailable, 'the table service does not answer; the rollout may have taken effect', { key: 'table-address', expected: 'look at "siskinbeamctl bundle status" before another rollout' })
  }
  await options.wait(firstDelayMilliseconds * 2 ** (count - 1))
  return attempt(options, count + 1)
}

async function tryOnce ({ verified, heads, rolledOutAt }: RollOutBundleOptions): Promise<Result<BundleHead>> {
  const { name, version, previousDigest } = verified.bundle
  const next: BundleHead = { version, digest: verified.digest }
  const stored = await heads.readHead()
  if (!stored.ok) return stored
  const { head, revision } = stored.value
  const isBase = (head?.version ?? 0) === version - 1 && (head?.digest ?? null) === previousDigest
  if (!isBase) return settle(heads, head, next)
  const record: RolloutRecord = { ...next, name, previousDigest, author: verified.signers[SignerRole.Author], approver: verified.signers[SignerRole.Approver], rolledOutAt }
  const move = await heads.moveHead(revision, record)
  if (!move.ok) return move
  return move.value.moved ? succeed(next) : settle(heads, move.value.found.head, next)
}

async function settle (heads: HeadStore, head: BundleHead | null, next: BundleHead): Promise<Result<BundleHead>> {
  if (head?.version === next.version && head.digest === next.digest) return succeed(next)
  if (head !== null && head.version > next.version) {
    // This bundle may have been the head before the present one.
    const records = await heads.readRecords([next.version])
    if (!records.ok) return records
    if (records.value[0]?.digest === next.digest) return succeed(head)
  }
  const found = head === null ? 'no bundle is rolled out' : `version ${head.version} (digest ${head.digest}) is rolled out`
  return fail(ResultCode.BundleHeadMoved, `${found}, so version ${next.version} cannot be`, {
    key: 'bundle/head', expected: `version ${(head?.version ?? 0) + 1} with previousDigest ${head?.digest ?? null}`
  })
}
