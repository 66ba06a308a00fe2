// Guards against a server that is contacted after it said that it leaves, during a pause, or by all hosts at the moment its pause ends.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createServerNotices, findPauseEnd, isLeaving, isServerAvailable, recordLeaving, recordPause } from '../src/serverNotices.js'

const seed = 20_261_205
const step = fc.oneof(
  fc.record({ kind: fc.constant('pause'), server: fc.constantFrom('a@1', 'a@2', 'b@1'), milliseconds: fc.integer({ min: 0, max: 5_000 }) }),
  fc.record({ kind: fc.constant('leave'), server: fc.constantFrom('a@1', 'a@2', 'b@1'), milliseconds: fc.constant(0) }),
  fc.record({ kind: fc.constant('wait'), server: fc.constant(''), milliseconds: fc.integer({ min: 0, max: 3_000 }) })
)

test(`after any notices, a server is contacted neither in any of its pauses nor after it said that it leaves, and soon after the pause otherwise (seed ${seed})`, () => {
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), fc.func(fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true })), (steps, draw) => {
    const notices = createServerNotices()
    const [wantedUntil, leaving] = [new Map<string, { until: number, endsBefore: number }>(), new Set<string>()]
    let now = 0
    steps.forEach(({ kind, server, milliseconds }, index) => {
      if (kind === 'wait') now += milliseconds
      if (kind === 'leave') {
        leaving.add(server)
        recordLeaving(notices, server)
      }
      if (kind === 'pause') {
        const previous = wantedUntil.get(server) ?? { until: 0, endsBefore: 0 }
        wantedUntil.set(server, { until: Math.max(previous.until, now + milliseconds), endsBefore: Math.max(previous.endsBefore, now + milliseconds * 1.1) })
        recordPause(notices, { server, milliseconds, now, random: () => draw(index) })
      }
      ;['a@1', 'a@2', 'b@1', 'c@1'].forEach(each => {
        const wanted = wantedUntil.get(each)
        const available = isServerAvailable(notices, each, now)
        if (leaving.has(each) || (wanted !== undefined && now < wanted.until)) assert.equal(available, false)
        else if (wanted === undefined || now >= wanted.endsBefore) assert.equal(available, true)
      })
    })
  }), { seed, numRuns: 10_000 })
})

test('hosts return spread over a tenth of the pause, and a new start of a server has no notice of the one before', () => {
  const ends = Array.from({ length: 100 }, (_, index) => {
    const notices = createServerNotices()
    recordPause(notices, { server: 'a@1', milliseconds: 2_000, now: 0, random: () => index / 100 })
    return findPauseEnd(notices, 'a@1', 0) ?? 0
  })
  assert.ok(Math.min(...ends) >= 2_000 && Math.max(...ends) <= 2_200 && Math.max(...ends) - Math.min(...ends) > 150)
  const notices = createServerNotices()
  assert.deepEqual([recordLeaving(notices, 'a@1'), recordLeaving(notices, 'a@1')], [true, false])
  assert.deepEqual([isLeaving(notices, 'a@1'), isLeaving(notices, 'a@2')], [true, false])
})

test('pauses that have ended are forgotten, and the number of servers that leave is bounded', () => {
  const notices = createServerNotices()
  Array.from({ length: 5_000 }, (_, index) => {
    recordLeaving(notices, `l${index}@1`)
    return recordPause(notices, { server: `p${index}@1`, milliseconds: 1, now: index * 10, random: () => 0 })
  })
  assert.equal(notices.pauses.size, 1)
  assert.equal(notices.leaving.size, 4_096)
})
