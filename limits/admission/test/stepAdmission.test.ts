// Guards against late responses under overload, against refusals of the class with the highest priority
// while others are served, and against requests that get no decision, two decisions or a slot that is in use.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { createRandom } from '@siskinbeam/random/createRandom'
import { AdmissionCommandKind, AdmissionEventKind, type AdmissionCommand, type AdmissionEvent } from '../src/admissionTypes.js'
import { createAdmissionState, stepAdmission } from '../src/stepAdmission.js'
import { capacityPerSecond, simulateOverload, type CompletedCall } from './simulateOverload.js'

const [overloadStart, overloadEnd, end] = [1_000, 6_000, 10_000]
const readQuantile = (values: number[], share: number): number => [...values].sort((first, second) => first - second)[Math.floor(values.length * share)] as number

// With a queue of 1,000 the servers never shed, so only the latency indicates the overload.
;[[1, 3, 4], [2, 2, 4], [3, 1_000, 1.5]].forEach(([seed = 0, serverQueue = 0, refusalRatio = 0]) => {
  test(`at 1.5 times capacity goodput is at least 90 %, refusals fall mostly on class 1, and latency is normal 2 s later (server queue ${serverQueue})`, () => {
    const run = simulateOverload(seed, serverQueue, end, now => now >= overloadStart && now < overloadEnd ? 1.5 : 0.7)
    const select = (from: number, to: number): CompletedCall[] => run.completed.filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < to)
    const inTime = run.completed.filter(call => call.inTime && call.respondedAt >= overloadStart + 1_000 && call.respondedAt < overloadEnd).length
    const goodput = inTime / ((overloadEnd - overloadStart - 1_000) / 1_000) / capacityPerSecond
    const [before, after] = [select(0, overloadStart), select(overloadEnd + 2_000, end)]
      .map(calls => readQuantile(calls.map(({ arrivedAt, respondedAt }) => respondedAt - arrivedAt), 0.99)) as [number, number]
    const [important, other] = run.refused as [number, number]
    console.log(`seed=${seed} serverQueue=${serverQueue} goodput=${goodput.toFixed(3)} refused=${important},${other} of ${run.offered.join(',')} shedShare=${(run.sheds / run.sends).toFixed(3)} p99Before=${before.toFixed(1)} p99After=${after.toFixed(1)} steps=${run.steps}`)
    assert.ok(goodput >= 0.9, `goodput ${goodput}`)
    assert.ok(important * refusalRatio < other, `refused ${important} of class 0, ${other} of class 1`)
    assert.ok(after <= before * 1.2, `p99 ${after} ms after, ${before} ms before`)
  })
})

const create = (queueLength = 3, limit = 1) => createAdmissionState({ queueLength, classCount: 2, initialLimit: limit, maximumLimit: limit })
const arrived = (requestId: string, classRank = 0, deadlineAt = 1_000): AdmissionEvent => ({ kind: AdmissionEventKind.Arrived, requestId, classRank, deadlineAt, refusalOutcome: Outcome.NotRun })
const describe = (command: AdmissionCommand): string =>
  command.kind === AdmissionCommandKind.Admit ? `admit ${command.requestId}` : `refuse ${command.requestId} ${ResultCode[command.code]} ${command.outcome}`
const run = (state: ReturnType<typeof create>, events: Array<[number, AdmissionEvent]>): string[] =>
  events.flatMap(([now, event]) => stepAdmission({ state, event, now, random: () => 0 }).map(describe))

test('the queue is ordered by class then arrival, displaces the request with the lowest priority, and refuses expired requests', () => {
  const state = create()
  assert.deepEqual(run(state, [
    [0, arrived('a')], [1, arrived('b', 1)], [2, arrived('c', 1, 40)], [3, arrived('d')], [4, arrived('e')], [5, arrived('f', 1)],
    [50, { kind: AdmissionEventKind.Finished, requestId: 'a' }],
    [51, { kind: AdmissionEventKind.Cancelled, requestId: 'd' }],
    [1_000, { kind: AdmissionEventKind.Ticked }]
  ]), ['admit a', 'refuse c Overloaded not-run', 'refuse f Overloaded not-run', 'admit d', 'admit e', 'refuse b DeadlineExceededBeforeSend not-run'])
})

test('a request is refused on arrival when its wait would leave too little time until its deadline', () => {
  const state = create(100)
  run(state, [[0, arrived('a')], [20, { kind: AdmissionEventKind.Finished, requestId: 'a' }], [20, arrived('b')]])
  assert.deepEqual(run(state, [[21, arrived('short', 0, 40)], [21, arrived('long', 0, 121)], [21, arrived('third', 0, 71)]]),
    ['refuse short DeadlineTooShort not-run', 'refuse third Overloaded not-run'])
})

test('a paused request releases its slot, and a later refusal reports the latest known outcome', () => {
  const state = create()
  assert.deepEqual(run(state, [
    [0, arrived('a')], [1, arrived('b')], [1, { kind: AdmissionEventKind.Paused, requestId: 'a' }],
    [2, { kind: AdmissionEventKind.Resumed, requestId: 'a', refusalOutcome: Outcome.Unknown }],
    [9, { kind: AdmissionEventKind.Finished, requestId: 'b' }],
    [9, { kind: AdmissionEventKind.Shed, requestId: 'a', resends: true, refusalOutcome: Outcome.Unknown }],
    [9, { kind: AdmissionEventKind.Shed, requestId: 'a', resends: false, refusalOutcome: Outcome.Unknown }]
  ]), ['admit a', 'admit b', 'admit a', 'refuse a ServerFailedAfterSend unknown'])
})

test('in every sequence of events each request is admitted to a free slot before its deadline, or refused once', () => {
  const seed = 5
  const kinds = Object.values(AdmissionEventKind)
  const steps = fc.array(fc.record({ kind: fc.constantFrom(...kinds, AdmissionEventKind.Arrived, AdmissionEventKind.Arrived), id: fc.nat(30), rank: fc.nat(1), elapsed: fc.nat(20), time: fc.nat(300) }), { minLength: 50, maxLength: 200 })
  fc.assert(fc.property(steps, events => {
    const state = createAdmissionState({ queueLength: 5, classCount: 2, initialLimit: 3, maximumLimit: 6 })
    const random = createRandom(seed)
    const undecidedDeadlines = new Map<string, number>() // deadlines of the requests that are neither admitted nor refused
    const inFlight = new Set<string>()
    events.reduce((previous, { kind, id, rank, elapsed, time }, index) => {
      const now = previous + elapsed
      const known = [...undecidedDeadlines.keys(), ...inFlight]
      const requestId = kind === AdmissionEventKind.Arrived ? `r${index}` : known[id % Math.max(1, known.length)] ?? ''
      if (kind === AdmissionEventKind.Arrived) undecidedDeadlines.set(requestId, now + time)
      if (kind === AdmissionEventKind.Paused && inFlight.delete(requestId)) undecidedDeadlines.set(requestId, Infinity)
      if (kind === AdmissionEventKind.Finished || kind === AdmissionEventKind.Cancelled) inFlight.delete(requestId)
      if (kind === AdmissionEventKind.Cancelled) undecidedDeadlines.delete(requestId)
      const event = { kind, requestId, classRank: rank, deadlineAt: now + time, refusalOutcome: Outcome.NotRun, resends: false } as AdmissionEvent
      stepAdmission({ state, event, now, random }).forEach(command => {
        const { requestId } = command
        assert.ok(undecidedDeadlines.has(requestId) || (kind === AdmissionEventKind.Shed && inFlight.has(requestId)), `${describe(command)} without a request`)
        if (command.kind === AdmissionCommandKind.Admit) {
          assert.ok((undecidedDeadlines.get(requestId) as number) > now, 'admitted past its deadline')
          inFlight.add(requestId)
          assert.ok(inFlight.size <= state.limit.value, 'more in flight than the limit')
        } else inFlight.delete(requestId)
        undecidedDeadlines.delete(requestId)
      })
      assert.equal(state.inFlight, inFlight.size)
      assert.equal(state.entries.size, inFlight.size + undecidedDeadlines.size)
      return now
    }, 0)
  }), { seed, numRuns: 400 })
})
