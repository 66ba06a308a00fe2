// Guards against a request that runs twice, a `not-run` for a request that ran, and a response that is
// lost or replaced, under simultaneous faults of the table service, the hosts and the guests.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { simulateHosts } from './simulatedHosts.js'

const seed = Number(process.env.SISKINBEAM_SIMULATION_SEED ?? 20261204)
const steps = Number(process.env.SISKINBEAM_SIMULATION_STEPS ?? 400_000)

test(`claims hold their invariants over ${steps} steps with seed ${seed}`, context => {
  const report = simulateHosts({ seed, steps })
  context.diagnostic(JSON.stringify(report.counts))
  assert.deepEqual(report.violations.slice(0, 5), [], `${report.violations.length} violations`)
  assert.equal(report.unfinished, 0, 'claims or writes that never finish')
  assert.ok(report.steps >= steps)
  // A run that does not reach these cases does not test them.
  const reached = [
    'replayed', 'settled', 'not started', 'crash', 'outage', 'transaction unanswered', 'transaction condition-failed',
    'transaction rate-limited', 'ClaimAbandoned unknown', 'ClaimInProgress unknown', 'ClaimLost unknown', 'AnswerNotKept run',
    'StoreUnavailable not-run', 'StoreUnavailable unknown', 'NoServer not-run', 'NoServer unknown', 'IdempotencyKeyReused not-run',
    'DeadlineExceededBeforeSend not-run'
  ]
  assert.deepEqual(reached.filter(name => report.counts[name] === undefined), [])
})
