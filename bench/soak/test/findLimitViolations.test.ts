// Guards the check of limits against missed violations, and against counting what the users excuse.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunEvent, type RunLogEntry } from '@siskinbeam/stand-in-platform-server/runLogEntry'
import { DisturbanceKind, type Disturbance } from '../src/disturbance.js'
import type { ObservedRequest } from '../src/observedRequest.js'
import { findLimitViolations } from '../src/findLimitViolations.js'
import { ViolationKind } from '../src/findViolations.js'

const limits = [{ server: 'i-1', requestsPerSecond: 1, from: 0, to: 20_000 }]
const allowed = 11
const told = (host: string, endedAt: number): ObservedRequest => ({ id: `told-${host}`, unsafe: false, host, sentAt: endedAt, endedAt, status: 200, isExpectedResponse: true, reused: false, hasResponseBytes: true, limitedServer: 'i-1' })
const contactsOf = (host: string, count: number, from: number): { requests: ObservedRequest[], runs: RunLogEntry[] } => ({
  requests: Array.from({ length: count }, (_, index) => ({ ...told(host, from), id: `${host}-${index}`, limitedServer: undefined })),
  runs: Array.from({ length: count }, (_, index) => ({ at: from + index, event: RunEvent.Contacted, server: 'i-1', request: `${host}-${index}`, unsafe: false }))
})
const check = (count: number, { from = 10_000, toldHosts = ['host-0', 'host-1'], disturbances = [] as Disturbance[], isHealthCheck = false } = {}): ViolationKind[] => {
  const { requests, runs } = contactsOf('host-0', count, from)
  return findLimitViolations({
    requests: [...toldHosts.map(host => told(host, 1_000)), ...requests],
    runs: isHealthCheck ? runs.map(run => ({ ...run, request: '' })) : runs,
    limits,
    hosts: ['host-0', 'host-1'],
    disturbancesOf: () => disturbances
  }).map(({ kind }) => kind)
}

test('more contacts than allowed in a window are a violation, health checks included', () => {
  assert.deepEqual([check(allowed), check(allowed + 1), check(allowed + 1, { isHealthCheck: true })], [[], [ViolationKind.OverLimit], [ViolationKind.OverLimit]])
})

test('contacts count from the settling time on, and only of hosts that knew the limit and were undisturbed', () => {
  const killed = (from: number, to: number): Disturbance[] => [{ from, to, kind: DisturbanceKind.Killed }]
  assert.deepEqual([check(20, { from: 3_900 }), check(20, { from: 4_000 })], [[], [ViolationKind.OverLimit]])
  assert.deepEqual([check(20, { toldHosts: ['host-1'] }), check(20, { toldHosts: ['host-0'], isHealthCheck: true })], [[], []])
  assert.deepEqual([check(20, { disturbances: killed(5_000, 7_500) }), check(20, { disturbances: killed(5_000, 6_900) })], [[], [ViolationKind.OverLimit]])
})
