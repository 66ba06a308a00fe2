// Tests the summary of a demonstration, and the decision whether it passed.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SendResult, type GuestRequest, type GuestSend } from '@siskinbeam/bench/load/guestRequest'
import { ClaimRowState } from '@siskinbeam/request-claims/claimRow'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { demoWorkload } from '../src/demoWorkload.js'
import { isDemoPassed, renderSummary, summarizeDemo, type DemoSummary } from '../src/summarizeDemo.js'

const kind = demoWorkload.kinds.find(({ path }) => path === '/issuer/permits') as GuestRequest['kind']
const makeRequest = (key: string, details: Partial<GuestSend> & { result: SendResult }): GuestRequest => {
  const send: GuestSend = { requestId: `id-${key}`, attempt: 1, address: '127.0.0.1:1', sentAt: 0, endedAt: 10, responsePath: kind.path, responseKey: key, responseRequestId: `id-${key}`, ...details }
  return { kind, key, path: kind.path, intendedAt: 0, endedAt: 10, sends: [send] }
}
const makeRun = (key: string, finished: number | null) => ({ server: 'issuer-1', boot: 'b', requestId: `id-${key}`, key, path: kind.path, started: 1, finished })
const summarize = (requests: GuestRequest[], ranKeys: string[], version: number | null = 2): DemoSummary => summarizeDemo({
  requests,
  runs: ranKeys.flatMap(key => [makeRun(key, null), makeRun(key, 5)]),
  claims: ranKeys.map(key => ({ key, state: ClaimRowState.Claimed, attemptId: 'entry-1/b/1', committedAt: 0 })),
  disturbedAddresses: new Set(),
  events: { rolloutMilliseconds: 400, stoppedCounters: { probes: 2, violations: 0 }, stoppedExitCode: 0 },
  counters: [{ probes: 3, violations: 0 }],
  versions: [{ host: 'entry-1', version: 2 }, { host: 'entry-2', version }]
})
const answered = makeRequest('a', { result: SendResult.Answered })

// Guards against a demonstration that passes although its table shows a violation.
test('a lost request, a duplicate execution or an entry host without the second bundle fails the demonstration', () => {
  assert.equal(isDemoPassed(summarize([answered], ['a'])), true)
  assert.equal(isDemoPassed(summarize([answered], ['a', 'a'])), false)
  assert.equal(isDemoPassed(summarize([answered, makeRequest('b', { result: SendResult.ConnectionLost })], ['a'])), false)
  assert.equal(isDemoPassed(summarize([answered], ['a'], 1)), false)
  assert.equal(isDemoPassed(summarize([answered], ['a'], null)), false)
})

// Guards against rejected requests that are missing from the table or lack their result code.
test('the table lists the result code of each rejection, and the bundle version of each entry host', () => {
  const refused = makeRequest('c', { result: SendResult.ErrorResponse, code: ResultCode.ClaimAbandoned, outcome: Outcome.Unknown })
  const summary = summarize([answered, refused], ['a'], null)
  assert.deepEqual(summary.refused, { 'ClaimAbandoned (unknown)': 1 })
  assert.equal(summary.probes, 5)
  const table = renderSummary(summary)
  assert.match(table, /^refused with reason +1$/m)
  assert.match(table, /^ +ClaimAbandoned \(unknown\) +1$/m)
  assert.match(table, /^bundle on entry-2 +none$/m)
})
