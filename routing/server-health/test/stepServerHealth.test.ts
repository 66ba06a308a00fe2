// Verifies that leaving servers get no requests, that ejections are limited so that the remaining servers are
// not overloaded, and that healthy servers do not stay excluded.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createRandom, drawLognormal } from '@siskinbeam/random/createRandom'
import { listEjected } from '../src/ejection.js'
import { createServerHealthState, HealthCommandKind, HealthEventKind, type HealthCommand, type HealthEvent, type ServerHealthState } from '../src/healthState.js'
import { readServerWeight } from '../src/readServerWeight.js'
import { stepServerHealth } from '../src/stepServerHealth.js'

const seed = 20_243
const names = Array.from({ length: 10 }, (_, index) => `desk-${index}`)
const createService = (): ServerHealthState => {
  const state = createServerHealthState()
  stepServerHealth({ state, event: { kind: HealthEventKind.ServersChanged, servers: names }, now: 0 })
  return state
}
const respond = (server: string, boot: string, draining = false, latencyMilliseconds?: number): HealthEvent =>
  ({ kind: HealthEventKind.Responded, server, signs: { boot, draining }, latencyMilliseconds })
const probe = (server: string, boot: string, sentAt: number, newConnection = true): HealthEvent =>
  ({ kind: HealthEventKind.ProbeResponded, server, signs: { boot, draining: false }, newConnection, sentAt })
const refuse = (server: string): HealthEvent => ({ kind: HealthEventKind.ConnectionRefused, server })
const list = (...leaving: string[]): HealthEvent => ({ kind: HealthEventKind.HostListRead, leaving: new Set(leaving) })
const run = (state: ServerHealthState, now: number, ...events: HealthEvent[]): HealthCommand[] =>
  events.flatMap(event => stepServerHealth({ state, event, now }))

const serverArbitrary = fastCheck.constantFrom(...names)
const eventArbitrary: fastCheck.Arbitrary<HealthEvent> = fastCheck.oneof(
  { weight: 8, arbitrary: serverArbitrary.map((server): HealthEvent => ({ kind: HealthEventKind.Failed, server })) },
  fastCheck.tuple(serverArbitrary, fastCheck.constantFrom(5, 20, 400)).map(([server, latency]) => respond(server, 'first', false, latency)),
  serverArbitrary.map(refuse),
  fastCheck.subarray(names).map(leaving => list(...leaving)),
  fastCheck.tuple(serverArbitrary, fastCheck.constantFrom('first', 'second', 'third')).map(([server, boot]) => respond(server, boot)))

test(`at most a third of the servers that are not leaving is ejected, seed ${seed}`, () => {
  let ejections = 0
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.tuple(eventArbitrary, fastCheck.nat(200)), { maxLength: 600, size: 'max' }), steps => {
    const state = createService()
    let now = 0
    steps.forEach(([event, pause]) => {
      now += pause
      const repeats = event.kind === HealthEventKind.Failed ? 5 : 1
      const commands = Array.from({ length: repeats }, () => run(state, now, event)).flat()
      ejections += commands.filter(({ kind }) => kind === HealthCommandKind.Eject).length
      const remaining = names.filter(name => state.servers.get(name)?.leaving === undefined).length
      assert.ok(listEjected(state, now).length <= remaining / 3)
    })
  }), { seed, numRuns: 200 })
  assert.ok(ejections > 500, `only ${ejections} ejections; the run must reach the limit`)
})

const drainSignals: Array<[string, HealthEvent]> = [
  ['the draining header', respond('desk-1', 'first', true)],
  ['a refused connection', refuse('desk-1')],
  ['the host list', list('desk-1')]
]
drainSignals.forEach(([title, signal]) => {
  test(`after ${title} only a new boot ID reinstates a server, seed ${seed}`, () => {
    const later = fastCheck.oneof(
      fastCheck.constant(list()),
      fastCheck.constant(list('desk-1')),
      fastCheck.constant(respond('desk-1', 'first', false, 20)),
      fastCheck.constant(probe('desk-1', 'first', 5, false)),
      fastCheck.constant(refuse('desk-1')),
      fastCheck.constant<HealthEvent>({ kind: HealthEventKind.Failed, server: 'desk-1' }))
    fastCheck.assert(fastCheck.property(fastCheck.array(later, { maxLength: 30 }), events => {
      const state = createService()
      run(state, 10, respond('desk-1', 'first'), signal)
      events.forEach((event, index) => {
        run(state, 20 + index * 500, event)
        assert.equal(readServerWeight(state, 'desk-1', 20 + index * 500), 0)
      })
      run(state, 20_000, respond('desk-1', 'second'))
      assert.ok(readServerWeight(state, 'desk-1', 20_000) <= 0.1)
      assert.equal(readServerWeight(state, 'desk-1', 25_000), 1)
    }), { seed, numRuns: 200 })
  })
})

test('sending a request more than 3 s after the first drain signal violates the invariant', () => {
  const state = createService()
  run(state, 10, respond('desk-1', 'first', true), list('desk-1'))
  const sent: HealthEvent = { kind: HealthEventKind.Sent, server: 'desk-1' }
  run(state, 3_010, sent)
  assert.throws(() => run(state, 3_011, sent), /no-work-for-leaving-server/)
})

test('late responses of a previous boot neither drain nor reinstate the current one', () => {
  const state = createService()
  run(state, 10, respond('desk-1', 'first'), respond('desk-1', 'second'), respond('desk-1', 'first', true))
  assert.ok(readServerWeight(state, 'desk-1', 20) > 0)
  run(state, 30, respond('desk-1', 'second', true), respond('desk-1', 'first'))
  assert.equal(readServerWeight(state, 'desk-1', 40), 0)
})

test('a full listen queue or a delayed host-list entry for an earlier drain does not exclude a server permanently', () => {
  const state = createService()
  run(state, 10, respond('desk-1', 'first'), refuse('desk-1'), probe('desk-1', 'first', 5))
  assert.equal(readServerWeight(state, 'desk-1', 20), 0, 'a probe sent before the refused connection must not reinstate the server')
  run(state, 30, probe('desk-1', 'first', 25))
  assert.ok(readServerWeight(state, 'desk-1', 30) > 0)

  run(state, 40, respond('desk-2', 'first'), respond('desk-2', 'first', true), respond('desk-2', 'second'), list('desk-2'))
  assert.equal(readServerWeight(state, 'desk-2', 50), 0)
  run(state, 60, probe('desk-2', 'second', 55))
  assert.ok(readServerWeight(state, 'desk-2', 60) > 0)
})

const runTraffic = (factorAt: (name: string, now: number) => number): string[] => {
  const state = createService()
  const random = createRandom(seed)
  return Array.from({ length: 4_000 }, (_, index): HealthCommand[] => {
    const [name, now] = [names[index % 10] as string, index * 2]
    if (readServerWeight(state, name, now) === 0) return []
    return run(state, now, respond(name, 'first', false, drawLognormal(random, 20, 0.8) * factorAt(name, now)))
  }).flat().filter(({ kind }) => kind === HealthCommandKind.Eject).map(({ server }) => server)
}

test('a sustained straggler is ejected, a server with a noisy neighbour for 200 ms is not', () => {
  assert.deepEqual([...new Set(runTraffic(name => name === 'desk-3' ? 10 : 1))], ['desk-3'])
  assert.deepEqual(runTraffic((name, now) => (Number(name.slice(5)) + Math.floor(now / 200)) % 4 === 0 ? 3 : 1), [])
})
