// Guards against a shorter prefix that shadows a longer one, and against traffic splits that differ from their
// weights.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '@siskinbeam/random/createRandom'
import type { Route } from '../src/configuration.js'
import { createRouteTable, pickService } from '../src/createRouteTable.js'

const seed = 20_261_204
const describe = (name: string, host: string, prefix: string): Route => ({
  name, host, prefix, idempotent: true, timeoutMilliseconds: 1_000, targetLatencyMilliseconds: 500, priority: 0, maximumAttempts: 2, services: [{ service: 'desk', weight: 1 }]
})
const table = createRouteTable({
  version: 1,
  routes: [describe('short', 'a.example', '/x/'), describe('long', 'a.example', '/x/y/'), describe('other', 'b.example', '/x/y/z/')],
  services: [],
  limits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 }
})

test('the longest prefix of the host name matches', () => {
  const find = (host: string, path: string): string | undefined => table.findRoute(host, path)?.name
  assert.deepEqual(
    [find('a.example', '/x/1'), find('a.example', '/x/y/1'), find('a.example', '/x/y/z/1'), find('A.Example:8080', '/x/y/'), find('a.example', '/x'), find('a.example', '/xy/1'), find('c.example', '/x/1')],
    ['short', 'long', 'long', 'long', undefined, undefined, undefined])
})

test(`requests are split by weight (seed ${seed})`, () => {
  const random = createRandom(seed)
  const route = { ...describe('split', 'a', '/'), services: [{ service: 'one', weight: 90 }, { service: 'none', weight: 0 }, { service: 'two', weight: 10 }] }
  const picks = Array.from({ length: 10_000 }, () => pickService(route, random()))
  const share = (service: string): number => picks.filter(pick => pick === service).length / picks.length
  assert.ok(Math.abs(share('one') - 0.9) < 0.02 && Math.abs(share('two') - 0.1) < 0.02 && share('none') === 0)
})

test('a route whose weights are all 0 has no service', () => {
  assert.equal(pickService({ ...describe('none', 'a', '/'), services: [{ service: 'one', weight: 0 }] }, 0.5), undefined)
})

test('a route is less important if another route to the same service has a higher priority, that is, a lower number', () => {
  const urgent = { ...describe('urgent', 'a', '/u/'), priority: 0 }
  const usual = { ...describe('usual', 'a', '/v/'), priority: 2 }
  const { isLessImportant } = createRouteTable({ ...table.configuration, routes: [urgent, usual, { ...usual, name: 'alone', prefix: '/w/', services: [{ service: 'other', weight: 1 }] }] })
  assert.deepEqual([isLessImportant(urgent, 'desk'), isLessImportant(usual, 'desk'), isLessImportant(usual, 'other')], [false, true, false])
})
