import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildPlots, computeMedian } from '../src/buildPlots.js'
import { readRecords, type DrawnRecord } from '../src/readRecords.js'
import { renderPage } from '../src/renderPage.js'

const makeRecord = (changes: Partial<DrawnRecord>): DrawnRecord => ({
  workload: 'trust', policy: 'ours', seed: 1, load: 0.7, fault: 'none', entryHosts: 20, requests: 1_000, p50Ms: 40, p99Ms: 200, p999Ms: 300, probesPerRequest: 1, ...changes
})
const records = ['ours', 'random'].flatMap(policy => [0.5, 0.7].map(load => makeRecord({ policy, load })))

// Guards against plots that are lost on the way to the page, and against scripts in it, which the page promises not to hold.
test('the page holds an SVG for each plot and no script', () => {
  const plots = buildPlots(records)
  // Percentiles and probes for each of two loads, and p99 against load once.
  assert.equal(plots.length, 5)
  const page = renderPage([...plots, { ...(plots[0] as typeof plots[number]), title: '<script>alert(1)</script>' }])
  assert.equal(page.match(/<svg /g)?.length, 6)
  assert.doesNotMatch(page, /<script|javascript:|\son\w+=/i)
  assert.match(page, /random/)
})

// Guards against a single slow seed that decides a plotted value.
test('runs of several seeds are one point at their median', () => {
  const plots = buildPlots([200, 900, 210].map((p99Ms, seed) => makeRecord({ seed, p99Ms })))
  const line = plots.find(({ title }) => title.startsWith('p99 against load'))?.option.series
  assert.deepEqual((line as Array<{ data: unknown }>)[0]?.data, [[0.7, 210]])
  assert.equal(computeMedian([4, 1]), 2.5)
})

// Guards against plots of files that the bench did not write.
test('one record and a list are read, and anything else is refused with the name of the file', () => {
  assert.equal(readRecords('a.json', JSON.stringify(records[0])).length, 1)
  assert.equal(readRecords('a.json', JSON.stringify(records)).length, 4)
  assert.throws(() => readRecords('b.json', '{"policy":1}'), /b\.json/)
  assert.throws(() => readRecords('c.json', 'text'), /c\.json is not JSON/)
})
