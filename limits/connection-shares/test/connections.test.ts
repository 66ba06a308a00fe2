// Guards against requests that wait on dead connections, against healthy connections that are closed and
// healthy servers that are reported as failed because of them, and against hosts that together open more
// connections than a server accepts.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom, drawExponential } from '@siskinbeam/random/createRandom'
import { computeConnectionShare, createConnectionShareState, recordLiveHosts } from '../src/computeConnectionShare.js'
import { ConnectionCommandKind, ConnectionEventKind, type ConnectionEvent } from '../src/connectionTypes.js'
import { createConnectionHealthState, isConnectionUsable, stepConnectionHealth } from '../src/stepConnectionHealth.js'

const deadline = 200
/** Simulates the connections of one server in steps of 1 ms. At `cutAt`, all open ones go silent; with `refuses`, new ones fail from then on. */
const simulateConnections = (seed: number, cutAt: number, refuses: boolean, interruptible: boolean) => {
  const [random, state] = [createRandom(seed), createConnectionHealthState()]
  const open = new Map<number, { cut: boolean, respondAt?: number, sentAt: number }>()
  const counts = { steps: 0, sends: 0, sentOnCut: 0, closedCut: 0, closedHealthy: 0, serverFailures: 0, checks: 0, maximumSilent: 0 }
  let nextId = 0
  const step = (now: number, event: ConnectionEvent): void => {
    counts.steps += 1
    stepConnectionHealth({ state, event, now }).forEach(command => {
      if (command.kind === ConnectionCommandKind.ReportServerFailure) counts.serverFailures += 1
      else if (command.kind === ConnectionCommandKind.CheckNewConnection) {
        counts.checks += 1
        const id = connect(now)
        if (id !== undefined) step(now, { kind: ConnectionEventKind.Finished, connectionId: id })
      } else {
        const closed = open.get(command.connectionId)
        counts[closed?.cut === true ? 'closedCut' : 'closedHealthy'] += 1
        if (closed?.respondAt !== undefined) counts.maximumSilent = Math.max(counts.maximumSilent, now - closed.sentAt)
        open.delete(command.connectionId)
      }
    })
  }
  const connect = (now: number): number | undefined => {
    if (refuses && now >= cutAt) {
      step(now, { kind: ConnectionEventKind.OpenFailed })
      return undefined
    }
    open.set(nextId += 1, { cut: false, sentAt: now })
    step(now, { kind: ConnectionEventKind.Opened, connectionId: nextId })
    return nextId
  }
  const sendOne = (now: number): void => {
    const idle = [...open].find(([id, { respondAt }]) => respondAt === undefined && isConnectionUsable(state, id))?.[0]
    const id = idle ?? (open.size < 13 ? connect(now) : undefined)
    if (id === undefined) return
    const cut = open.get(id)?.cut === true
    open.set(id, { cut, respondAt: cut ? Infinity : now + Math.min(drawExponential(random, 15), 90), sentAt: now })
    counts.sends += 1
    if (cut) counts.sentOnCut += 1
    step(now, { kind: ConnectionEventKind.Sent, connectionId: id, deadlineAt: now + deadline, interruptible })
  }
  Array.from({ length: 4_000 }, (_, now) => now).forEach(now => {
    if (now === cutAt) open.forEach(connection => Object.assign(connection, { cut: true, respondAt: connection.respondAt === undefined ? undefined : Infinity }))
    ;[...open].filter(([, { respondAt = Infinity }]) => respondAt <= now).forEach(([id, connection]) => {
      connection.respondAt = undefined
      step(now, { kind: ConnectionEventKind.Finished, connectionId: id })
    })
    if (random() < 0.2) sendOne(now)
    step(now, { kind: ConnectionEventKind.Ticked })
  })
  return counts
}

Array.from({ length: 6 }, (_, index) => index + 1).forEach(seed => {
  test(`only silent connections are closed, after half of the deadline (seed ${seed})`, () => {
    const run = simulateConnections(seed, 1_000, false, true)
    console.log(`seed=${seed} ${Object.entries(run).map(([name, value]) => `${name}=${value}`).join(' ')}`)
    assert.ok(run.closedCut > 0 && run.maximumSilent <= deadline / 2 + 1, `${run.maximumSilent} ms`)
    assert.deepEqual([run.closedHealthy, run.serverFailures], [0, 0])
    assert.ok(run.sentOnCut <= 13)
    assert.deepEqual(simulateConnections(seed, Infinity, false, true).closedHealthy, 0)
    const uninterruptible = simulateConnections(seed, 1_000, false, false)
    assert.ok(uninterruptible.maximumSilent >= deadline, 'a request that must not run twice was interrupted')
    const refused = simulateConnections(seed, 1_000, true, true)
    assert.ok(refused.serverFailures > 0 && refused.closedCut === 0, 'the server was not reported as failed')
  })
})

test('the shares of hosts that join and leave never exceed the connections that the server accepts', () => {
  const seed = 4
  const random = createRandom(seed)
  let maximumSum = 0
  const join = (now: number) => ({ state: createConnectionShareState(now), delay: random() * 3_000 })
  let hosts = Array.from({ length: 20 }, () => join(-60_000))
  const history: number[] = []
  Array.from({ length: 40_000 }, (_, step) => step * 250).forEach(now => {
    if (random() < 0.02 && hosts.length > 4) hosts = hosts.slice(1 + Math.floor(random() * hosts.length / 3))
    const newHosts = hosts.filter(({ state }) => now - state.startedAt < 10_000).length
    if (random() < 0.1 && hosts.length < 60 && newHosts < Math.floor(hosts.length / 4)) hosts = [...hosts, join(now)]
    history.push(hosts.length)
    hosts.forEach(({ state, delay }) => recordLiveHosts(state, history[Math.max(0, history.length - 1 - Math.round(delay / 250))] as number, now))
    const sum = hosts.reduce((total, { state }) => total + computeConnectionShare({ state, connections: 300, now }), 0)
    maximumSum = Math.max(maximumSum, sum)
    assert.ok(sum <= 300, `${sum} connections for ${hosts.length} hosts`)
  })
  console.log(`seed=${seed} greatest sum of shares=${maximumSum}`)
  assert.ok(maximumSum > 240, 'the shares leave most connections unused')
})
