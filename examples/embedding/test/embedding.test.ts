// Guards against decision modules that cannot be used without the daemon, and against an example that sends
// a non-idempotent request twice, exceeds the retry budget, or sends requests to a draining server.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { failingServer, runExample } from '../src/runExample.js'

const requests = 1_000
const seeds = [1_414_213_562, 1_732_050_807, 2_000_000_011]
seeds.forEach(seed => test(`the client complies with the rules of the decision modules, seed ${seed}`, () => {
  const result = runExample({ seed, requests })
  assert.equal(result.responded + result.failed, requests)
  assert.equal(result.repeatedNonIdempotent, 0)
  assert.equal(result.sendsAfterDrain, 0)
  assert.ok(result.furtherSends <= requests * 0.1, `${result.furtherSends} further sends`)
  const { [failingServer]: failing = 0, ...others } = result.sendsDuringFailures
  const mean = Object.values(others).reduce((sum, sends) => sum + sends, 0) / Object.values(others).length
  assert.ok(failing < mean / 2, `${failing} sends to the failing server, ${mean} to each other one`)
  assert.ok(result.failed < requests * 0.05, `${result.failed} failed`)
}))

// Checks all seeds together, since in a single run it is random whether an idempotent request is sent to the
// failing server before that server is avoided.
test('the runs contain failed non-idempotent requests and retried idempotent ones, so that a wrong retry would be detected', () => {
  const results = seeds.map(seed => runExample({ seed, requests }))
  assert.ok(results.some(({ failed }) => failed > 0))
  assert.ok(results.some(({ furtherSends }) => furtherSends > 0))
})

test('runs with the same seed are identical', () => {
  assert.deepEqual(runExample({ seed: 1_414_213_562, requests: 200 }), runExample({ seed: 1_414_213_562, requests: 200 }))
})
