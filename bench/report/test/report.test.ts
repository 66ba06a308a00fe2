// Tests the report, from the records of a benchmark to the HTML page.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildPlots, computeMedian } from '../src/buildPlots.js'
import { parseRecords, type PlottedRecord } from '../src/parseRecords.js'
import { renderPage } from '../src/renderPage.js'

const makeRecord = (changes: Partial<PlottedRecord>): PlottedRecord => ({
  workload: 'trust', policy: 'ours', seed: 1, load: 0.7, fault: 'none', entryHosts: 20, requests: 1_000, p50Ms: 40, p99Ms: 200, p999Ms: 300, probesPerRequest: 1, ...changes
})
const records = ['ours', 'random'].flatMap(policy => [0.5, 0.7].map(load => makeRecord({ policy, load })))

// Guards against plots missing from the page, and against scripts, which the page must not contain.
test('the page contains an SVG for each plot and no script', () => {
  const plots = buildPlots(records)
  // A percentile plot and a probe plot for each of the two loads, and one plot of p99 against load.
  assert.equal(plots.length, 5)
  const page = renderPage([...plots, { ...(plots[0] as typeof plots[number]), title: '<script>alert(1)</script>' }])
  assert.equal(page.match(/<svg /g)?.length, 6)
  assert.doesNotMatch(page, /<script|javascript:|\son\w+=/i)
  assert.match(page, /random/)
})

// Guards against a single slow seed that determines a plotted value.
test('runs with several seeds are plotted as one point at their median', () => {
  const plots = buildPlots([200, 900, 210].map((p99Ms, seed) => makeRecord({ seed, p99Ms })))
  const line = plots.find(({ title }) => title.startsWith('p99 against load'))?.option.series
  assert.deepEqual((line as Array<{ data: unknown }>)[0]?.data, [[0.7, 210]])
  assert.equal(computeMedian([4, 1]), 2.5)
})

// Guards against plotting files that the benchmark did not write.
test('a record and an array of records are parsed, and anything else is rejected with the name of the file', () => {
  assert.equal(parseRecords('a.json', JSON.stringify(records[0])).length, 1)
  assert.equal(parseRecords('a.json', JSON.stringify(records)).length, 4)
  assert.throws(() => parseRecords('b.json', '{"policy":1}'), /b\.json/)
  assert.throws(() => parseRecords('c.json', 'text'), /c\.json is not JSON/)
})
