// Converts results of the table service client to results of the group commit.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { TransactResult } from '@siskinbeam/clients/createTableClient'
import { TransactionResultKind, type TransactionResult } from './groupCommitMessages.js'

/** Converts the result of a transaction for `stepGroupCommit`. Distinguishes the result codes 701 to 703. */
export function toTransactionResult (result: TransactResult): TransactionResult {
  if (result.ok) {
    const { versions, timeMilliseconds } = result.value
    return { kind: TransactionResultKind.Committed, versions, tableTimeMilliseconds: timeMilliseconds }
  }
  if (result.conflict !== undefined) {
    const { rows, timeMilliseconds } = result.conflict
    return { kind: TransactionResultKind.ConditionFailed, rows, tableTimeMilliseconds: timeMilliseconds }
  }
  if (result.error.code === ResultCode.TableRateLimited) return { kind: TransactionResultKind.RateLimited }
  if (result.mayHaveTakenEffect) return { kind: TransactionResultKind.Unanswered }
  return { kind: result.rejected === true ? TransactionResultKind.Rejected : TransactionResultKind.NotSent }
}
