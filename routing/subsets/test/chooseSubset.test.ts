// Verifies that subsets load servers evenly, change no more than a change of servers or hosts requires, and
// include servers of remote data centres.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { chooseSubset, type SubsetServer } from '../src/chooseSubset.js'

const seed = 20_242
const dataCentres = ['north', 'middle', 'south']
const createServers = (count: number): SubsetServer[] =>
  Array.from({ length: count }, (_, index) => ({ name: `desk-${index}`, dataCentre: dataCentres[index % 3] as string }))
const choose = (host: number | string, servers: SubsetServer[], size: number, roundTrip = (_: string): number => 0): SubsetServer[] =>
  chooseSubset({ hostSeed: `entry-${host}`, servers, size, readRoundTripMilliseconds: roundTrip })
const countUses = (subsets: SubsetServer[][]): Map<string, number> => subsets.flat()
  .reduce((counts, { name }) => counts.set(name, (counts.get(name) ?? 0) + 1), new Map<string, number>())

test('each server is in the subsets of a similar number of hosts', () => {
  const servers = createServers(400)
  const uses = countUses(Array.from({ length: 200 }, (_, host) => choose(host, servers, 50)))
  const counts = servers.map(({ name }) => uses.get(name) ?? 0)
  // 200 hosts use 1 server in 8 each: mean 25, standard deviation 4.7; the bounds are four standard deviations.
  assert.ok(Math.min(...counts) >= 6 && Math.max(...counts) <= 44, `${Math.min(...counts)} to ${Math.max(...counts)}`)
  const variance = counts.reduce((sum, count) => sum + (count - 25) ** 2, 0) / counts.length
  assert.ok(variance < 1.3 * 200 / 8 * 7 / 8, `variance ${variance}`)
})

test(`adding or removing a server changes at most one member of a subset, in any order of servers, seed ${seed}`, () => {
  fastCheck.assert(fastCheck.property(fastCheck.nat(1_000), fastCheck.integer({ min: 2, max: 120 }), fastCheck.integer({ min: 1, max: 60 }), fastCheck.nat(), (host, count, size, pick) => {
    const servers = createServers(count)
    const removed = servers[pick % count] as SubsetServer
    const before = choose(host, servers, size)
    const after = choose(host, servers.filter(server => server !== removed).reverse(), size)
    const missing = before.filter(server => !after.includes(server))
    assert.ok(missing.every(server => server === removed))
    assert.ok(after.filter(server => !before.includes(server)).length <= 1)
    assert.equal(before.length, Math.min(size, count))
  }), { seed, numRuns: 500 })
})

test('servers in nearby data centres are preferred and remote ones stay in use', () => {
  const servers = createServers(300)
  const subsets = Array.from({ length: 400 }, (_, host) => choose(host, servers, 30, name => name === 'north' ? 0 : name === 'middle' ? 5 : 80))
  const share = (dataCentre: string): number => subsets.flat().filter(server => server.dataCentre === dataCentre).length / 12_000
  assert.ok(share('north') > share('middle') && share('middle') > share('south'), dataCentres.map(share).join(' '))
  assert.ok(share('south') > 0.1, `${share('south')}`)
  assert.ok(subsets.every(subset => new Set(subset.map(server => server.dataCentre)).size >= 2))
  const uses = countUses(subsets)
  assert.ok(servers.every(({ name }) => (uses.get(name) ?? 0) > 0))
})
