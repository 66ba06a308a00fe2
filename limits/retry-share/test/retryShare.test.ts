// Guards against a sliding window in which all hosts together make more further sends than the ratio of the
// first sends plus the fixed number allows, however the traffic is distributed among the hosts.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createRetryShare, FurtherSendPurpose, recordFirstSend, takeFurtherSend } from '../src/retryShare.js'

const seed = 20_261_204
const windowMilliseconds = 10_000

test(`the sum over all hosts stays within the budget in every window (seed ${seed})`, () => {
  const event = fc.record({ host: fc.nat({ max: 4 }), gap: fc.nat({ max: 400 }), further: fc.boolean(), purpose: fc.constantFrom(FurtherSendPurpose.Retry, FurtherSendPurpose.Hedge) })
  fc.assert(fc.property(fc.array(event, { maxLength: 300 }), events => {
    const rule = { ratio: 0.2, fixedSends: 2, windowMilliseconds }
    const hosts = Array.from({ length: 5 }, () => createRetryShare())
    const firstSends: number[] = []
    const furtherSends: number[] = []
    let now = 0
    events.forEach(({ host, gap, further, purpose }) => {
      now += gap
      const state = hosts[host] as ReturnType<typeof createRetryShare>
      if (!further) {
        recordFirstSend(state, now)
        firstSends.push(now)
      } else if (takeFurtherSend(state, rule, purpose, now)) furtherSends.push(now)
    })
    furtherSends.forEach(end => {
      const count = (times: number[], from: number): number => times.filter(time => time > from && time <= end).length
      // The window of a host ends at its own latest send, so the counted first sends may be up to one window older.
      assert.ok(count(furtherSends, end - windowMilliseconds) <= 0.2 * count(firstSends, end - 2 * windowMilliseconds) + 5 * 2)
    })
  }), { seed, numRuns: 300 })
})

test('hedges leave part of the budget to retries', () => {
  const state = createRetryShare()
  const rule = { ratio: 0, fixedSends: 10, windowMilliseconds }
  const hedges = Array.from({ length: 20 }, () => takeFurtherSend(state, rule, FurtherSendPurpose.Hedge, 0)).filter(Boolean).length
  const retries = Array.from({ length: 20 }, () => takeFurtherSend(state, rule, FurtherSendPurpose.Retry, 0)).filter(Boolean).length
  assert.deepEqual([hedges, hedges + retries], [8, 10])
})

test('sends that are older than the window do not count', () => {
  const state = createRetryShare()
  const rule = { ratio: 0, fixedSends: 1, windowMilliseconds }
  assert.deepEqual([0, 1, windowMilliseconds, windowMilliseconds + 1].map(now => takeFurtherSend(state, rule, FurtherSendPurpose.Retry, now)), [true, false, false, true])
})
