// Verifies that excluded servers are not chosen, that the cost of a decision does not grow with the size of the
// service, and that outdated or too favourable reports do not attract requests.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import { createRandom } from '@siskinbeam/random/createRandom'
import { ReportSource } from '@siskinbeam/probing/loadReport'
import { chooseServer } from '../src/chooseServer.js'
import { ChoiceEventKind, CompletionKind, createServerChoiceState, defaultTuning, type ChoiceEvent, type ServerChoiceState } from '../src/choiceState.js'
import { stepServerChoice } from '../src/stepServerChoice.js'

const seed = 20_244
const createService = (count: number): ServerChoiceState => {
  const state = createServerChoiceState()
  const servers = Array.from({ length: count }, (_, index) => ({ name: `desk-${index}`, slots: 3 }))
  stepServerChoice({ state, event: { kind: ChoiceEventKind.ServersChanged, servers }, now: 0 })
  return state
}
const report = (server: string, inFlight: number, ageMilliseconds = 0): ChoiceEvent =>
  ({ kind: ChoiceEventKind.Reported, server, report: { inFlight, queued: 0, slots: 3 }, source: ReportSource.Probe, ageMilliseconds })
const complete = (server: string, latencyMilliseconds: number, completion = CompletionKind.Responded): ChoiceEvent =>
  ({ kind: ChoiceEventKind.Completed, server, completion, latencyMilliseconds })
const run = (state: ServerChoiceState, now: number, ...events: ChoiceEvent[]): void =>
  events.forEach(event => stepServerChoice({ state, event, now }))
const countChoices = (state: ServerChoiceState, now: number, policy = LoadBalancingPolicy.Ours): Map<string, number> => {
  const random = createRandom(seed)
  return Array.from({ length: 300 }, () => chooseServer({ state, policy, now, random, readWeight: () => 1, excluded: [] }) ?? '')
    .reduce((counts, name) => counts.set(name, (counts.get(name) ?? 0) + 1), new Map<string, number>())
}

const serverArbitrary = fastCheck.nat(7).map(index => `desk-${index}`)
const eventArbitrary: fastCheck.Arbitrary<ChoiceEvent> = fastCheck.oneof(
  serverArbitrary.map((server): ChoiceEvent => ({ kind: ChoiceEventKind.Sent, server })),
  fastCheck.tuple(serverArbitrary, fastCheck.constantFrom(...Object.values(CompletionKind)), fastCheck.nat(500)).map(([server, completion, latency]) => complete(server, latency, completion)),
  fastCheck.tuple(serverArbitrary, fastCheck.nat(9), fastCheck.nat(100)).map(([server, inFlight, age]) => report(server, inFlight, age)),
  serverArbitrary.map((server): ChoiceEvent => ({ kind: ChoiceEventKind.Shed, server })))

Object.values(LoadBalancingPolicy).forEach(policy => {
  test(`${policy} never chooses an excluded server and finds an eligible one, seed ${seed}`, () => {
    fastCheck.assert(fastCheck.property(
      fastCheck.array(eventArbitrary, { maxLength: 60 }),
      fastCheck.array(fastCheck.constantFrom(0, 0.1, 1), { minLength: 8, maxLength: 8 }),
      fastCheck.uniqueArray(serverArbitrary, { maxLength: 8 }),
      (events, weights, excluded) => {
        const state = createService(8)
        events.forEach((event, index) => run(state, index * 5, event))
        const readWeight = (server: string): number => weights[Number(server.slice(5))] ?? 0
        const eligible = state.servers.map(({ name }) => name).filter(name => readWeight(name) > 0 && !excluded.includes(name))
        const random = createRandom(seed)
        Array.from({ length: 10 }).forEach(() => {
          const chosen = chooseServer({ state, policy, now: 300, random, readWeight, excluded })
          assert.ok(chosen === undefined ? eligible.length === 0 : eligible.includes(chosen), `chose ${chosen}, eligible: ${eligible.join()}`)
        })
      }), { seed, numRuns: 200 })
  })
})

test('a decision examines a bounded number of servers, for services of 10 and of 14,000 servers', () => {
  const countMostReads = (servers: number): number => {
    const state = createService(servers)
    const random = createRandom(seed)
    return Math.max(...Array.from({ length: 500 }, (_, index) => {
      let reads = 0
      run(state, index, report(`desk-${index % servers}`, 1))
      chooseServer({ state, policy: LoadBalancingPolicy.Ours, now: index, random, readWeight: () => { reads += 1; return 1 }, excluded: [] })
      return reads
    }))
  }
  const bound = defaultTuning.pool.capacity + defaultTuning.sampledServers
  assert.ok(countMostReads(10) <= bound && countMostReads(14_000) <= bound)
})

test('a report is used a limited number of times, and own requests add to the reported load', () => {
  const state = createService(10)
  Array.from({ length: 10 }, (_, index) => run(state, 0, report(`desk-${index}`, 3)))
  run(state, 1, report('desk-4', 0))
  const choose = (): string | undefined => chooseServer({ state, policy: LoadBalancingPolicy.Ours, now: 1, random: createRandom(seed), readWeight: () => 1, excluded: [] })
  assert.equal(choose(), 'desk-4')
  Array.from({ length: 6 }).forEach(() => run(state, 1, { kind: ChoiceEventKind.Sent, server: 'desk-4' }))
  assert.notEqual(choose(), 'desk-4')
})

const slowOrFailingServers: Array<[string, number, CompletionKind]> = [
  ['a straggler', 200, CompletionKind.Responded],
  ['a server that fails immediately', 1, CompletionKind.Failed],
  ['a server whose requests are cancelled after long waits', 200, CompletionKind.Cancelled]
]
slowOrFailingServers.forEach(([title, latency, completion]) => {
  test(`${title} gets less than half a fair share although it reports no load`, () => {
    const state = createService(8)
    Array.from({ length: 160 }, (_, index) => run(state, index, index % 8 === 0 ? complete('desk-0', latency, completion) : complete(`desk-${index % 8}`, 20)))
    Array.from({ length: 8 }, (_, index) => run(state, 160, report(`desk-${index}`, index === 0 ? 0 : 2)))
    assert.ok((countChoices(state, 161).get('desk-0') ?? 0) < 300 / 8 / 2)
  })
})

test('a completion without a recorded send and an event of a removed server leave the state valid', () => {
  const state = createService(2)
  run(state, 0, complete('desk-1', 5), { kind: ChoiceEventKind.Shed, server: 'removed' })
  assert.equal(state.byName.get('desk-1')?.ownInFlight, 0)
  assert.equal(countChoices(createService(0), 0).get(''), 300)
})
