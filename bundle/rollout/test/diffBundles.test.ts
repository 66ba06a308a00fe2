// Guards against differences that are missing from the diff, or listed under the wrong key path.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { diffBundles, formatDifference } from '../src/diffBundles.js'

const server = (name: string, slots = 3) => ({ name, slots })
const route = (method: string, deadline: number) => ({ methods: [method], pathPrefix: '/desk', deadline })

test('differences are listed by key path, elements matched by identity', () => {
  const before = { version: 1, old: true, guestClasses: ['a', 'b'], services: [{ name: 'desk', servers: [server('one'), server('two'), server('three')], routes: [route('GET', 1), route('POST', 1)] }] }
  const after = { version: 2, guestClasses: ['b', 'a'], services: [{ name: 'desk', servers: [server('zero'), server('three'), server('two', 4)], routes: [route('GET', 1), route('POST', 2)] }] }
  assert.deepEqual(diffBundles(before, after).map(formatDifference), [
    '~ guestClasses ["a","b"] -> ["b","a"]',
    '- old true',
    '~ services.desk.routes.POST /desk.deadline 1 -> 2',
    '~ services.desk.servers order ["two","three"] -> ["three","two"]',
    '- services.desk.servers.one {"name":"one","slots":3}',
    '~ services.desk.servers.two.slots 3 -> 4',
    '+ services.desk.servers.zero {"name":"zero","slots":3}',
    '~ version 1 -> 2'
  ])
  assert.deepEqual(diffBundles(before, structuredClone(before)), [])
})
