// Guards against servers that no host asks first, and against subsets that change with each host.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { sizeSubset } from '../src/sizeSubset.js'

test('few hosts ask all servers between them, many hosts a few each', () => {
  assert.ok([1, 2, 3, 6].every(hosts => sizeSubset({ servers: 100, hosts }) >= 100))
  assert.ok([18, 77, 300, 1_000].every(hosts => sizeSubset({ servers: 100, hosts }) * hosts >= 600))
  assert.equal(sizeSubset({ servers: 100, hosts: 77 }), 10)
})

test('the size stays the same while the number of hosts changes a little', () => {
  assert.equal(new Set([64, 70, 80, 100, 127].map(hosts => sizeSubset({ servers: 1_000, hosts }))).size, 1)
})
