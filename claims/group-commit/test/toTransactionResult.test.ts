// Guards against a result of the table client that is converted to the wrong transaction result.
import assert from 'node:assert/strict'
import { after, test } from 'node:test'
import { createTableClient } from '@siskinbeam/clients/createTableClient'
import { ClaimRowState, decodeClaimRow, encodeClaimRow } from '@siskinbeam/request-claims/claimRow'
import { serveTableService } from '@siskinbeam/stand-in-platform/serveTableService'
import { TransactionResultKind } from '../src/groupCommitMessages.js'
import { toTransactionResult } from '../src/toTransactionResult.js'

test('each result of a call to the table service is distinguished, and a row is decoded as it was encoded', async () => {
  const service = await serveTableService({ writesPerSecond: 8, clock: () => 1_000 })
  let client = createTableClient({ address: service.address, timeoutMilliseconds: 5_000 })
  const { close } = client
  after(() => { close(); client.close(); return service.close() })
  const row = { state: ClaimRowState.Settled, attempt: 'a/b/1', fingerprint: 'f', leaseUntil: 1.5, guestAttempt: 1, answer: { status: 201, headers: { 'set-cookie': ['a', 'b'] }, body: 'aGk=' } }
  const transact = async (...keys: string[]) => toTransactionResult(await client.transact(keys.map(key =>
    ({ kind: 'put', key, value: encodeClaimRow(row), expectedVersion: null, expiresAtMilliseconds: 2_000 }))))

  assert.deepEqual(await transact('a', 'b'), { kind: TransactionResultKind.Committed, versions: new Map([['a', 1], ['b', 1]]), tableTimeMilliseconds: 1_000 })
  const conflict = await transact('a', 'c')
  assert.ok(conflict.kind === TransactionResultKind.ConditionFailed)
  assert.deepEqual([...conflict.rows.keys()], ['a'])
  assert.deepEqual(decodeClaimRow(conflict.rows.get('a')?.value), row)
  assert.equal((await transact('d', 'd')).kind, TransactionResultKind.Rejected)
  service.setFaults({ lostReplyShare: 1 })
  assert.equal((await transact('d')).kind, TransactionResultKind.Unanswered)
  service.setFaults({ lostReplyShare: 0 })
  // The clock does not advance, so the four transactions so far used up the limit of half a second.
  await transact('e')
  assert.equal((await transact('f')).kind, TransactionResultKind.RateLimited)
  await service.close()
  // A call on a reused connection that broke may have been received, so a new client opens its own connection.
  client = createTableClient({ address: service.address, timeoutMilliseconds: 5_000 })
  assert.equal((await transact('g')).kind, TransactionResultKind.NotSent)
})
