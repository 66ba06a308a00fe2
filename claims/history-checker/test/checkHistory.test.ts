// Guards against a checker that misses a violation, or that reports a guest's own retry as one.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { createRandom } from '@siskinbeam/random/createRandom'
import { checkHistory, countHistory } from '../src/checkHistory.js'
import { ClaimRowState } from '@siskinbeam/request-claims/claimRow'
import { FindingKind, InvocationEnd, type CommittedClaim, type History, type Invocation, type Run } from '../src/historyTypes.js'

const answered = (requestId: string, change: Partial<Invocation> = {}): Invocation => ({
  key: 'k', requestId, attempt: 1, idempotent: false, invokedAt: 0, answeredAt: 10, end: InvocationEnd.Answered, code: null, outcome: null, answerIdentity: change.key === null ? requestId : 'k', ...change
})
const withOutcome = (requestId: string, outcome: Outcome, change: Partial<Invocation> = {}): Invocation =>
  answered(requestId, { code: ResultCode.Overloaded, outcome, answerIdentity: null, ...change })
const ran = (requestId: string, change: Partial<Run> = {}): Run => ({ key: 'k', requestId, server: 's', boot: '1', startedAt: 5, finishedAt: 6, ...change })
const row = (state: ClaimRowState): CommittedClaim => ({ key: 'k', state, attemptId: 'h/1/1', committedAt: 1 })
const claimed = [row(ClaimRowState.Claimed)]
const build = (invocations: Invocation[], runs: Run[], transactions = claimed): History => ({ invocations, runs, transactions })

const histories: Array<[string, History, FindingKind[]]> = [
  ['a request that ran once', build([answered('a')], [ran('a')]), []],
  ['two runs of a key by two attempts', build([withOutcome('a', Outcome.Unknown), answered('b', { attempt: 2 })], [ran('a'), ran('b')]), [FindingKind.RanTwice]],
  ['two runs of a request without key', build([answered('a', { key: null })], [ran('a', { key: null }), ran('a', { key: null })]), [FindingKind.RanTwice]],
  ['two runs of an idempotent request', build([answered('a', { key: null, idempotent: true })], [ran('a', { key: null }), ran('a', { key: null })]), []],
  ['a refusal, then a run by a later attempt', build([withOutcome('a', Outcome.NotRun), answered('b', { attempt: 2 })], [ran('b')]), []],
  ['a refusal of an invocation that ran', build([withOutcome('a', Outcome.NotRun)], [ran('a')]), [FindingKind.RefusedButRan]],
  ['a refusal although an earlier attempt ran', build([withOutcome('a', Outcome.Unknown), withOutcome('b', Outcome.NotRun, { attempt: 2 })], [ran('a')]), [FindingKind.RefusedButRan]],
  ['a refusal because another request has the key', build([answered('a'), withOutcome('b', Outcome.NotRun, { attempt: 2, code: ResultCode.IdempotencyKeyReused })], [ran('a')]), []],
  ['the stored response of an earlier attempt', build([withOutcome('a', Outcome.Unknown), answered('b', { attempt: 2 })], [ran('a')]), []],
  ['a response to another request', build([answered('a', { answerIdentity: 'other' })], [ran('a')]), [FindingKind.WrongAnswer]],
  ['a response without a run', build([answered('a')], []), [FindingKind.AcknowledgedWithoutRun]],
  ['a response before the run', build([answered('a')], [ran('a', { startedAt: 11 })]), [FindingKind.AcknowledgedWithoutRun]],
  ['the outcome run without a run', build([withOutcome('a', Outcome.Run)], []), [FindingKind.AcknowledgedWithoutRun]],
  ['a connection that broke', build([answered('a', { end: InvocationEnd.ConnectionLost, answerIdentity: null })], [ran('a')]), [FindingKind.LostWithoutAccount]],
  ['a response with neither body nor account', build([answered('a', { answerIdentity: null })], [ran('a')]), [FindingKind.LostWithoutAccount]],
  ['a connection closed by the guest', build([answered('a', { end: InvocationEnd.GuestClosed, answerIdentity: null, answeredAt: null })], [ran('a')]), []],
  ['a run without a claim', build([answered('a')], [ran('a')], []), [FindingKind.RanWithoutClaim]],
  ['a settlement without a run', build([withOutcome('a', Outcome.Unknown)], [], [row(ClaimRowState.Settled)]), [FindingKind.SettledWithoutRun]]
]
histories.forEach(([title, history, kinds]) => {
  test(`${title}: ${kinds.join(', ') || 'no finding'}`, () => {
    assert.deepEqual(checkHistory(history).map(({ kind }) => kind), kinds)
  })
})

test('exactly the faults injected into a history of 100,000 invocations are counted', () => {
  const seed = 3
  const random = createRandom(seed)
  const injected = { ranTwice: 0, refusedButRan: 0, wrongAnswer: 0, lostWithoutAccount: 0, acknowledgedWithoutRun: 0 }
  const history = { invocations: [] as Invocation[], runs: [] as Run[], transactions: [] as CommittedClaim[] }
  const shouldInject = (fault: keyof typeof injected): boolean => {
    const isInjected = random() < 0.001
    injected[fault] += isInjected ? 1 : 0
    return isInjected
  }
  Array.from({ length: 50_000 }, (_, index) => ({ key: `key-${index}`, requestId: `first-${index}` })).forEach(({ key, requestId }, index) => {
    history.transactions.push({ ...row(ClaimRowState.Claimed), key })
    history.invocations.push(withOutcome(requestId, Outcome.NotRun, { key }))
    if (shouldInject('refusedButRan')) return history.runs.push(ran(requestId, { key }))
    const second = answered(`second-${index}`, { key, attempt: 2, answerIdentity: key })
    history.invocations.push(second)
    if (shouldInject('acknowledgedWithoutRun')) return undefined
    history.runs.push(ran(second.requestId, { key }))
    if (shouldInject('ranTwice')) return history.runs.push(ran(second.requestId, { key }))
    if (shouldInject('wrongAnswer')) second.answerIdentity = `key-${index + 1}`
    else if (shouldInject('lostWithoutAccount')) Object.assign(second, { end: InvocationEnd.ConnectionLost, answerIdentity: null })
    return undefined
  })
  const { ranTwice, refusedButRan, wrongAnswer, lostWithoutAccount, acknowledgedWithoutRun, claimFaults, refusedNotRun, answered: answers } = countHistory(history)
  console.log(`seed=${seed} ${JSON.stringify(injected)}`)
  assert.deepEqual({ ranTwice, refusedButRan, wrongAnswer, lostWithoutAccount, acknowledgedWithoutRun }, injected)
  assert.deepEqual([claimFaults, refusedNotRun, answers + lostWithoutAccount + refusedButRan], [0, 50_000, 50_000])
})
