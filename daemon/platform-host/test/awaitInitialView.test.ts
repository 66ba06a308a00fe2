// Guards requests that reach a host which has just started: against a refusal milliseconds before the host
// can serve them, and against a wait without end.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRegistry, type RegistryState } from '@siskinbeam/server-registry/serverRegistry'
import { createInitialView } from '../src/dataCentre/initialView.js'
import { awaitInitialView } from '../src/requestPath/awaitInitialView.js'
import type { GuestExchange } from '../src/requestPath/guestExchange.js'

interface TestView {
  exchange: GuestExchange
  /** Puts configuration and servers in place. */
  load: () => void
}

function createTestView (hostAgeMilliseconds: number): TestView {
  const listeners: Array<() => void> = []
  const registry: RegistryState = createRegistry()
  let loaded = false
  const initialView = createInitialView({ routes: () => loaded ? {} as never : undefined, registry, onChange: listener => { listeners.push(listener) } })
  return {
    exchange: { host: { initialView, now: () => hostAgeMilliseconds, startedAt: 0, metrics: { count: () => {} } }, guestTimeoutMilliseconds: 2_500, finished: false } as unknown as GuestExchange,
    load: () => {
      loaded = true
      registry.version = 7
      listeners.forEach(listener => listener())
    }
  }
}

test('a request at a host that has just started goes on once the host knows a configuration, and once only', context => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const { exchange, load } = createTestView(50)
  let passed = 0
  awaitInitialView(exchange, () => { passed += 1 })
  assert.equal(passed, 0)
  load()
  assert.equal(passed, 1)
  context.mock.timers.tick(10_000)
  assert.equal(passed, 1)
})

test('a request goes on, to be refused, if the host learns nothing', context => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const { exchange } = createTestView(50)
  let passed = 0
  awaitInitialView(exchange, () => { passed += 1 })
  context.mock.timers.tick(600)
  assert.equal(passed, 1)
})

test('a host that has long been without a configuration lets no request wait', () => {
  const { exchange } = createTestView(5_000)
  let passed = 0
  awaitInitialView(exchange, () => { passed += 1 })
  assert.equal(passed, 1)
})

test('a request whose guest has left does not go on', context => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const { exchange, load } = createTestView(50)
  let passed = 0
  awaitInitialView(exchange, () => { passed += 1 })
  exchange.finished = true
  load()
  assert.equal(passed, 0)
})
