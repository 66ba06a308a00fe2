// Guards against values that are rendered in the wrong unit, and against values out of range that are lost.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createMetrics } from '../src/createMetrics.js'

test('counters, gauges and percentiles are rendered with their units', () => {
  const metrics = createMetrics()
  metrics.count('requests_total', 2)
  metrics.gauge('in_flight', () => 5)
  Array.from({ length: 100 }, (_, index) => index + 1).forEach(value => metrics.recordMilliseconds('answer_milliseconds', value))
  const text = metrics.render()
  assert.match(text, /^siskinbeam_requests_total 2$/m)
  assert.match(text, /^siskinbeam_in_flight 5$/m)
  assert.match(text, /^siskinbeam_answer_milliseconds\{quantile="0.999"\} /m)
  assert.ok(Math.abs(metrics.readPercentileMilliseconds('answer_milliseconds', 99) - 99) < 0.2)
})

test('a value above the range of the histogram is recorded as its maximum', () => {
  const metrics = createMetrics()
  metrics.recordMilliseconds('answer_milliseconds', 1e12)
  assert.ok(metrics.readPercentileMilliseconds('answer_milliseconds', 50) >= 599_000)
})
