// Guards against entries that are replaced by older ones, updates after which a follower has a different list
// from its source, and servers that are removed because the store had an outage.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { applyUpdate, createRegistry, expiryGraceMilliseconds, recordStoreRecovery, readUpdate, applyHeldRemovals, ServerState, type RegisteredServer, type RegistryChange, type RegistryState } from '../src/serverRegistry.js'

const seed = 20_261_204
const createServer = (id: string, state = ServerState.Ready): RegisteredServer =>
  ({ id, boot: 1, service: 'desk', address: `10.0.0.1:${id.length}`, dataCentre: 'north', slots: 3, state, warmUpMilliseconds: 0 })
const change = (id: string, version: number, state?: ServerState): RegistryChange => ({ id, version, server: createServer(id, state) })
const removal = (id: string, version: number): RegistryChange => ({ id, version, server: undefined })
const listOf = (state: RegistryState): unknown[] => [...state.servers.values()].map(({ server, version }) => ({ server, version })).sort((first, second) => first.server.id < second.server.id ? -1 : 1)

test('an update older than the list changes nothing', () => {
  const registry = createRegistry()
  applyUpdate(registry, { whole: true, version: 10, changes: [change('a', 9, ServerState.Draining)] }, 0)
  assert.deepEqual(applyUpdate(registry, { whole: true, version: 8, changes: [change('a', 7)] }, 0), [])
  assert.equal(registry.servers.get('a')?.server.state, ServerState.Draining)
})

test('a complete list removes the servers that it does not name', () => {
  const registry = createRegistry()
  applyUpdate(registry, { whole: true, version: 2, changes: [change('a', 1), change('b', 2)] }, 0)
  assert.deepEqual(applyUpdate(registry, { whole: true, version: 3, changes: [change('b', 2)] }, 0), ['a'])
})

test('removals just after an outage of the store are held, and are discarded if the server registers again', () => {
  const registry = createRegistry()
  applyUpdate(registry, { whole: true, version: 2, changes: [change('a', 1), change('b', 2)] }, 0)
  recordStoreRecovery(registry, 1_000)
  applyUpdate(registry, { whole: false, version: 4, changes: [removal('a', 3), removal('b', 4)] }, 1_010)
  assert.deepEqual([...registry.servers.keys()], ['a', 'b'])
  applyUpdate(registry, { whole: false, version: 5, changes: [change('b', 5)] }, 1_500)
  assert.deepEqual(applyHeldRemovals(registry, 1_000 + expiryGraceMilliseconds - 1), [])
  assert.deepEqual(applyHeldRemovals(registry, 1_000 + expiryGraceMilliseconds), ['a'])
  assert.deepEqual([...registry.servers.keys()], ['b'])
})

test(`a follower that applies updates at arbitrary times ends with the list of its source (seed ${seed})`, () => {
  const step = fc.record({ id: fc.constantFrom('a', 'b', 'c', 'd'), kind: fc.constantFrom('ready', 'draining', 'removed', 'outage'), follow: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
    const source = createRegistry()
    const follower = createRegistry()
    let revision = 0
    const follow = (now: number): void => {
      const update = readUpdate(source, revision)
      applyUpdate(follower, update, now)
      revision = update.revision
    }
    steps.forEach(({ id, kind, follow: follows }, index) => {
      const now = index * 300
      if (kind === 'outage') recordStoreRecovery(source, now)
      else {
        const made = kind === 'removed' ? removal(id, index + 1) : change(id, index + 1, kind === 'ready' ? ServerState.Ready : ServerState.Draining)
        applyUpdate(source, { whole: false, version: index + 1, changes: [made] }, now)
      }
      applyHeldRemovals(source, now)
      if (follows) follow(now)
    })
    applyHeldRemovals(source, Infinity)
    follow(Infinity)
    assert.deepEqual(listOf(follower), listOf(source))
  }), { seed, numRuns: 500 })
})
