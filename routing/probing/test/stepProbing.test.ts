// Verifies that probing stays within its rate and budget, that every server is probed, and that peers do
// not forward each other's reports.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createRandom } from '@siskinbeam/random/createRandom'
import { ReportSource } from '../src/loadReport.js'
import { addToPool, createReportPool, pruneReportPool, recordReportUse } from '../src/reportPool.js'
import { createProbingState, ProbingCommandKind, ProbingEventKind, stepProbing, type ProbingCommand, type ProbingEvent, type ProbingState } from '../src/stepProbing.js'

const seed = 20_245
const names = ['desk-0', 'desk-1', 'desk-2', 'desk-3', 'desk-4']
const start = (probesPerRequest: number): { state: ProbingState, run: (event: ProbingEvent, now: number, allowed?: boolean) => ProbingCommand[] } => {
  const state = createProbingState({ probesPerRequest, shareReportsWithPeers: true })
  const random = createRandom(seed)
  const run = (event: ProbingEvent, now: number, allowed = true): ProbingCommand[] => stepProbing({ state, event, now, random, takeBudget: () => allowed })
  run({ kind: ProbingEventKind.ServersChanged, servers: names }, 0)
  return { state, run }
}
const arrived: ProbingEvent = { kind: ProbingEventKind.RequestArrived }
const reported = (server: string, source: ReportSource): ProbingEvent => ({ kind: ProbingEventKind.Reported, server, source, report: { inFlight: 1, queued: 0 } })
const tick = (zeroWeightServers: string[], peers: string[]): ProbingEvent => ({ kind: ProbingEventKind.Tick, zeroWeightServers, peers })

test(`the number of probes never exceeds the rate per request, whichever probes the budget refuses, seed ${seed}`, () => {
  fastCheck.assert(fastCheck.property(fastCheck.constantFrom(0, 0.1, 0.5, 1, 2.5), fastCheck.array(fastCheck.boolean(), { maxLength: 300 }), (rate, budget) => {
    const { run } = start(rate)
    const probes = budget.map((allowed, index) => run(arrived, index, allowed).length)
    assert.ok(probes.every(count => count <= Math.max(2, Math.ceil(rate))))
    probes.reduce((sum, count, index) => {
      assert.ok(sum + count <= rate * (index + 1) + 1e-9)
      return sum + count
    }, 0)
  }), { seed, numRuns: 200 })
})

test('a rate of 0.1 probes the servers round robin, once per ten requests', () => {
  const { run } = start(0.1)
  const probed = Array.from({ length: 1_000 }, (_, index) => run(arrived, index)).flat()
  assert.ok(probed.length >= 99 && probed.length <= 100, `${probed.length}`)
  names.forEach(name => {
    const count = probed.filter(command => command.kind === ProbingCommandKind.Probe && command.server === name).length
    assert.ok(count >= 19 && count <= 20, `${name} ${count}`)
  })
})

test('servers without traffic are probed at a fixed interval, on new connections', () => {
  const { run } = start(1)
  const commands = Array.from({ length: 100 }, (_, index) => run(tick(['desk-9'], []), index * 20)).flat()
  assert.deepEqual(commands, Array.from({ length: 4 }, () => ({ kind: ProbingCommandKind.Probe, server: 'desk-9', newConnection: true })))
})

test('reports of this host are shared once, with their age; reports from peers are not forwarded', () => {
  const { run } = start(1)
  run(reported('desk-1', ReportSource.Response), 100)
  run(reported('desk-2', ReportSource.Peer), 100)
  const shared = run(tick([], ['entry-2']), 130)
  assert.deepEqual(shared, [{ kind: ProbingCommandKind.ShareReports, peer: 'entry-2', reports: [{ server: 'desk-1', ageMilliseconds: 30, report: { inFlight: 1, queued: 0 } }] }])
  assert.deepEqual(run(tick([], ['entry-2']), 400), [])
  run(reported('desk-1', ReportSource.Probe), 410)
  assert.deepEqual(run(tick([], ['entry-2']), 420, false), [], 'refused by the budget')
})

test('the pool keeps the latest report per server and removes used, expired and evicted ones', () => {
  const pool = createReportPool<string>({ capacity: 2, maximumUses: 2, maximumAgeMilliseconds: 100 })
  const list = (now: number): string[] => pruneReportPool(pool, now).map(({ server }) => server)
  addToPool(pool, 'desk-1', 0)
  addToPool(pool, 'desk-2', 10)
  addToPool(pool, 'desk-1', 20)
  assert.deepEqual(list(20), ['desk-2', 'desk-1'])
  addToPool(pool, 'desk-3', 30)
  assert.deepEqual(list(30), ['desk-1', 'desk-3'])
  recordReportUse(pool, 'desk-3')
  recordReportUse(pool, 'desk-3')
  assert.deepEqual(list(120), ['desk-1'])
  assert.deepEqual(list(121), [])
})
