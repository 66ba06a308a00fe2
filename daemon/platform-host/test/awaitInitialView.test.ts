// Guards against requests to a host that has just started that are refused milliseconds before the host can serve them,
// or that wait forever.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRegistry, type RegistryState } from '@siskinbeam/server-registry/serverRegistry'
import { createInitialView } from '../src/dataCentre/initialView.js'
import { awaitInitialView } from '../src/requestPath/awaitInitialView.js'
import type { GuestExchange } from '../src/requestPath/guestExchange.js'

interface TestView {
  exchange: GuestExchange
  /** Loads the configuration and the servers into the view. */
  load: () => void
}

function createTestView (hostAgeMilliseconds: number): TestView {
  const listeners: Array<() => void> = []
  const registry: RegistryState = createRegistry()
  let loaded = false
  const initialView = createInitialView({ routes: () => loaded ? {} as never : undefined, registry, onChange: listener => { listeners.push(listener) } }, () => {})
  return {
    exchange: { host: { initialView, now: () => hostAgeMilliseconds, startedAt: 0, metrics: { count: () => {} } }, guestTimeoutMilliseconds: 2_500, finished: false } as unknown as GuestExchange,
    load: () => {
      loaded = true
      registry.version = 7
      listeners.forEach(listener => listener())
    }
  }
}

test('a request at a host that has just started proceeds exactly once when the view is loaded', context => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const { exchange, load } = createTestView(50)
  let proceeded = 0
  awaitInitialView(exchange, () => { proceeded += 1 })
  assert.equal(proceeded, 0)
  load()
  assert.equal(proceeded, 1)
  context.mock.timers.tick(10_000)
  assert.equal(proceeded, 1)
})

test('a request proceeds, to be refused, if the view is not loaded in time', context => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const { exchange } = createTestView(50)
  let proceeded = 0
  awaitInitialView(exchange, () => { proceeded += 1 })
  context.mock.timers.tick(600)
  assert.equal(proceeded, 1)
})

test('a host that has been without a configuration for long does not hold requests', () => {
  const { exchange } = createTestView(5_000)
  let proceeded = 0
  awaitInitialView(exchange, () => { proceeded += 1 })
  assert.equal(proceeded, 1)
})

test('a request whose guest has disconnected does not proceed', context => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const { exchange, load } = createTestView(50)
  let proceeded = 0
  awaitInitialView(exchange, () => { proceeded += 1 })
  exchange.finished = true
  load()
  assert.equal(proceeded, 0)
})
