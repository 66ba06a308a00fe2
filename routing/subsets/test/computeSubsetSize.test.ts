// Verifies that each server is in some subset, and that subset sizes do not change with each added host.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { computeSubsetSize } from '../src/computeSubsetSize.js'

test('few hosts use all servers, many hosts use a small subset each', () => {
  assert.ok([1, 2, 3, 6].every(hosts => computeSubsetSize({ servers: 100, hosts }) >= 100))
  assert.ok([18, 77, 300, 1_000].every(hosts => computeSubsetSize({ servers: 100, hosts }) * hosts >= 600))
  assert.equal(computeSubsetSize({ servers: 100, hosts: 77 }), 10)
})

test('small changes of the number of hosts do not change the size', () => {
  assert.equal(new Set([64, 70, 80, 100, 127].map(hosts => computeSubsetSize({ servers: 1_000, hosts }))).size, 1)
})
