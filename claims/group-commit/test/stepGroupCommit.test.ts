// Guards against writes that wait too long, transactions beyond the rate limit, and a group that changes
// while an earlier send of it may still take effect.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom, pickIndex } from '@siskinbeam/random/createRandom'
import { ClaimWriteKind, WriteResultKind, type ClaimWrite } from '@siskinbeam/request-claims/claimMessages'
import { ClaimRowState } from '@siskinbeam/request-claims/claimRow'
import { GroupCommitCommandKind, GroupCommitEventKind, TransactionResultKind, type GroupCommitCommand, type GroupCommitEvent, type TransactionResult } from '../src/groupCommitMessages.js'
import { createGroupCommitState, isIdle } from '../src/groupCommitState.js'
import { stepGroupCommit } from '../src/stepGroupCommit.js'

const createWrite = (name: string, kind = ClaimWriteKind.Claim, key = name): ClaimWrite => {
  const row = { state: ClaimRowState.Claimed, attempt: name, fingerprint: '', leaseUntil: 0, guestAttempt: 0 }
  return { writeId: name, kind, attempt: name, key, row, expectedVersion: null, expiresAtMilliseconds: 0 }
}

const start = (options = {}) => {
  const state = createGroupCommitState({ now: 0, transactionsPerSecond: 10, ...options })
  const step = (now: number, event: GroupCommitEvent): GroupCommitCommand[] => stepGroupCommit({ state, event, now })
  return {
    state,
    offer: (now: number, write: ClaimWrite) => step(now, { kind: GroupCommitEventKind.Offer, write }),
    withdraw: (now: number, writeId: string) => step(now, { kind: GroupCommitEventKind.Withdraw, writeId }),
    wake: (now: number) => step(now, { kind: GroupCommitEventKind.Wake }),
    done: (now: number, result: TransactionResult) => step(now, { kind: GroupCommitEventKind.TransactionDone, transaction: state.current?.number ?? 0, result })
  }
}
const committed: TransactionResult = { kind: TransactionResultKind.Committed, versions: new Map(), tableTimeMilliseconds: 0 }
const unanswered: TransactionResult = { kind: TransactionResultKind.Unanswered }
const rateLimited: TransactionResult = { kind: TransactionResultKind.RateLimited }
const keysOf = (commands: GroupCommitCommand[]): string[] | undefined =>
  commands.find(command => command.kind === GroupCommitCommandKind.Transact)?.operations.map(({ key }) => key)
const wakeOf = (commands: GroupCommitCommand[]): number | undefined => commands.find(command => command.kind === GroupCommitCommandKind.WakeAt)?.at

test('a claim is sent at once while tokens are available, then at the configured rate', () => {
  const commit = start()
  Array.from({ length: 5 }, (_, index) => `burst-${index}`).forEach(name => {
    assert.deepEqual(keysOf(commit.offer(0, createWrite(name))), [name])
    commit.done(0, committed)
  })
  assert.equal(wakeOf(commit.offer(0, createWrite('late'))), 100)
  commit.offer(50, createWrite('later'))
  assert.deepEqual(keysOf(commit.wake(100)), ['late', 'later'])
})

test('a settlement is sent with the next claim, or alone after 250 ms', () => {
  const commit = start()
  assert.equal(wakeOf(commit.offer(0, createWrite('first', ClaimWriteKind.Settle))), 250)
  assert.deepEqual(keysOf(commit.offer(10, createWrite('claim'))), ['claim', 'first'])
  commit.done(20, committed)
  commit.offer(30, createWrite('second', ClaimWriteKind.Settle))
  assert.equal(keysOf(commit.wake(279)), undefined)
  assert.deepEqual(keysOf(commit.wake(280)), ['second'])
})

test('an unanswered transaction is resent unchanged, also after the rate limit rejected a send', () => {
  const commit = start({ transactionsPerSecond: 1_000 })
  commit.offer(0, createWrite('a'))
  commit.done(1, committed)
  assert.deepEqual(keysOf(commit.offer(2, createWrite('b'))), ['b'])
  commit.offer(3, createWrite('c'))
  const repeatAt = wakeOf(commit.done(300, unanswered)) ?? 0
  assert.deepEqual(commit.withdraw(301, 'b').filter(({ kind }) => kind === GroupCommitCommandKind.Report), [])
  assert.deepEqual(keysOf(commit.wake(repeatAt)), ['b'])
  const backoffUntil = wakeOf(commit.done(repeatAt + 1, rateLimited)) ?? 0
  assert.deepEqual(keysOf(commit.wake(backoffUntil)), ['b'])
  // The first send was applied: the row names this attempt, so the write is reported as applied.
  const row = { value: createWrite('b').row, version: 7 }
  const [reported] = commit.done(backoffUntil + 1, { kind: TransactionResultKind.ConditionFailed, rows: new Map([['b', row]]), tableTimeMilliseconds: 0 })
  assert.deepEqual(reported, { kind: GroupCommitCommandKind.Report, attempt: 'b', writeId: 'b', result: { kind: WriteResultKind.Held, version: 7 } })
})

test('each rejection by the rate limit doubles the backoff, up to 1 s', () => {
  const commit = start()
  commit.offer(0, createWrite('a'))
  const sentAt = [100, 300, 700, 1_500, 2_500, 3_500]
  sentAt.forEach((at, index) => {
    assert.equal(wakeOf(commit.done(sentAt[index - 1] ?? 0, rateLimited)), at)
    assert.deepEqual(keysOf(commit.wake(at)), ['a'])
  })
})

test('each write completes after at most five answered transactions, whichever rows keep changing', () => {
  const random = createRandom(17)
  const commit = start({ transactionsPerSecond: 1_000 })
  const transactionsByKey = new Map<string, number>()
  let now = 0
  let reported = 0
  commit.offer(now, createWrite('first'))
  Array.from({ length: 300 }, (_, index) => commit.offer(now, createWrite(`write-${index}`)))
  const count = (commands: GroupCommitCommand[]): void => {
    reported += commands.filter(({ kind }) => kind === GroupCommitCommandKind.Report).length
    keysOf(commands)?.forEach(key => transactionsByKey.set(key, (transactionsByKey.get(key) ?? 0) + 1))
  }
  while (!isIdle(commit.state)) {
    now += 2
    const writes = commit.state.current?.writes ?? []
    const failed = writes[pickIndex(random, writes.length)]?.write.key ?? ''
    count(commit.done(now, { kind: TransactionResultKind.ConditionFailed, rows: new Map([[failed, null]]), tableTimeMilliseconds: 0 }))
    count(commit.wake(now + 1))
  }
  assert.equal(reported, 301)
  assert.ok(Math.max(...transactionsByKey.values()) <= 5, `${Math.max(...transactionsByKey.values())} transactions`)
})

test('a write that the table service rejects is isolated, and the other writes of its group are applied', () => {
  const commit = start({ transactionsPerSecond: 1_000 })
  const results: string[] = []
  let commands = ['first', 'invalid', 'a', 'b'].flatMap(name => commit.offer(0, createWrite(name)))
  Array.from({ length: 20 }).forEach((_, index) => {
    const result = keysOf(commands)?.includes('invalid') === true ? { kind: TransactionResultKind.Rejected } as const : committed
    commands = commit.done(2 * index, result)
    results.push(...commands.flatMap(command => command.kind === GroupCommitCommandKind.Report ? [`${command.writeId} ${command.result.kind}`] : []))
  })
  assert.deepEqual(results.sort(), ['a held', 'b held', 'first held', 'invalid refused'])
})

test('claims are refused at the queue limit, settlements at twice the limit, and a key occurs once per transaction', () => {
  const commit = start({ maximumQueuedClaims: 2 })
  commit.offer(0, createWrite('in flight'))
  const refused = (write: ClaimWrite): boolean => commit.offer(1, write).some(command =>
    command.kind === GroupCommitCommandKind.Report && command.result.kind === WriteResultKind.Refused)
  assert.deepEqual(['a', 'b', 'c'].map(name => refused(createWrite(name, ClaimWriteKind.Claim, 'same'))), [false, false, true])
  assert.deepEqual(['d', 'e', 'f'].map(name => refused(createWrite(name, ClaimWriteKind.Settle))), [false, false, true])
  assert.deepEqual(keysOf(commit.done(2, committed)), ['same', 'd', 'e'])
})
