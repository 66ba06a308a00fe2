// Verifies that load reports are parsed correctly and that malformed headers are rejected.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { formatLoadReport, parseLoadReport } from '../src/loadReportHeader.js'

test('parsing a formatted report returns the same report', () => {
  const report = { inFlight: 2, queued: 1, slots: 3, latencyMilliseconds: 12.5 }
  const header = 'TEXT named_metrics.in_flight=2, named_metrics.queued=1, named_metrics.slots=3, named_metrics.latency_milliseconds=12.5'
  assert.equal(formatLoadReport(report), header)
  assert.deepEqual(parseLoadReport(header), report)
})

test('unknown metrics are ignored', () => {
  assert.deepEqual(parseLoadReport('TEXT cpu_utilization=0.3,named_metrics.queued=0,named_metrics.in_flight=4'), { inFlight: 4, queued: 0, slots: undefined, latencyMilliseconds: undefined })
})

const malformed = [
  undefined, '', 'TEXT ', 'JSON {"cpu_utilization":0.3}', 'TEXT named_metrics.in_flight=2',
  ...['-1', 'NaN', 'Infinity', '', 'two', '1e99'].map(value => `TEXT named_metrics.in_flight=${value}, named_metrics.queued=0`),
  'TEXT named_metrics.in_flight=1, named_metrics.queued=0, named_metrics.slots=0',
  'TEXT named_metrics.in_flight=1, named_metrics.queued=0' + ', x=1'.repeat(300)
]
malformed.forEach(header => {
  test(`no report from ${JSON.stringify(header?.slice(0, 70))}`, () => assert.equal(parseLoadReport(header), undefined))
})
