// Guards against hedges and retries that multiply work: sends of requests that may run once only, losers
// that go on, budgets that are exceeded, and several layers of a call tree that retry.
import { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { recordRequestLatency } from '@siskinbeam/hedging/decideHedge'
import { probeServer } from '../src/servers/probeServer.js'
import type { ServerRuntime } from '../src/servers/serviceRuntime.js'
import { answerText, closeHeader, get, openGuest, post, readOutcome, readService, waitUntil } from './support/rawGuest.js'
import { exchangeRaw, makeBundle, startPath, startScriptedServer, type StartedPath } from './support/startPath.js'

interface Sent { server: number, socket: Socket, text: string }
interface Setup { path: StartedPath, sent: Sent[], sockets: Set<Socket> }

/** Two servers, a host that knows latencies of 10 ms, and the requests that were sent, probes left out. */
async function withServers (answer: (sent: Sent, position: number) => void, act: (setup: Setup) => Promise<void>, signs: (server: number) => string = () => ''): Promise<void> {
  const sent: Sent[] = []
  const sockets = new Set<Socket>()
  const servers = await Promise.all([0, 1].map(server => startScriptedServer((socket, text) => {
    sockets.add(socket)
    if (text.includes('/.load')) return socket.write(answerText('', signs(server)))
    const entry = { server, socket, text }
    answer(entry, sent.push(entry))
  })))
  const path = await startPath(makeBundle(servers.map(({ address }) => address)))
  Array.from({ length: 64 }, () => recordRequestLatency(readService(path).hedging, 10))
  readService(path).retryBudget.tokens = 10
  try {
    await act({ path, sent, sockets })
  } finally {
    await Promise.all([path.stop(), ...servers.map(server => server.stop())])
  }
}

test('a hedge goes to another server, its answer is relayed, and the connection of the slower send is closed', () =>
  withServers((entry, position) => { if (position === 2) entry.socket.write(answerText('second')) }, async ({ path, sent }) => {
    const { received } = await exchangeRaw(path.guestAddress, get('/desk/limits', closeHeader), 2_000)
    assert.match(received, /second$/)
    assert.deepEqual(sent.map(({ server }) => server).sort(), [0, 1])
    await waitUntil('the slower send is cancelled', () => sent[0]?.socket.destroyed === true)
    assert.equal(sent[1]?.socket.destroyed, false)
    assert.equal(path.host.metrics.snapshot()['hedges_total'], 1)
  }))

test('a hedge that loses is cancelled, and the first answer is relayed once', () =>
  withServers(() => {}, async ({ path, sent }) => {
    const guest = openGuest(path.guestAddress, get('/desk/limits'))
    await waitUntil('the hedge is out', () => sent.length === 2)
    sent[0]?.socket.write(answerText('first'))
    await waitUntil('the answer', () => guest.received().endsWith('first'))
    await waitUntil('the hedge is cancelled', () => sent[1]?.socket.destroyed === true)
    guest.socket.destroy()
  }))

test('a booking is never hedged or sent again', () =>
  withServers((entry, position) => { if (position > 1) entry.socket.destroy() }, async ({ path, sent }) => {
    const slow = await exchangeRaw(path.guestAddress, post('/desk/bookings', 'lorry', `siskinbeam-deadline: 200\r\n${closeHeader}`), 2_000)
    assert.equal(readOutcome(slow.received), 'unknown')
    const broken = await exchangeRaw(path.guestAddress, post('/desk/bookings', 'lorry', closeHeader), 2_000)
    assert.equal(readOutcome(broken.received), 'unknown')
    assert.equal(sent.length, 2)
  }))

test('retries of a failing service stay within the budget', () =>
  withServers(entry => entry.socket.destroy(), async ({ path, sent }) => {
    const { retryBudget } = readService(path)
    retryBudget.tokens = 0
    for (let asked = 0; asked < 60; asked += 1) await exchangeRaw(path.guestAddress, get('/desk/limits', closeHeader), 2_000)
    assert.equal(sent.length, 60 + retryBudget.furtherSends)
    assert.ok(retryBudget.furtherSends <= 0.1 * 60 + 2, `${retryBudget.furtherSends} further sends`)
  }))

test('a layer that may retry says so, a layer below one that retries does not retry, and the depth counts up', () =>
  withServers(entry => entry.socket.destroy(), async ({ path, sent }) => {
    await exchangeRaw(path.guestAddress, get('/desk/limits', `siskinbeam-depth: 4\r\n${closeHeader}`), 2_000)
    assert.equal(sent.length, 2)
    sent.forEach(({ text }) => {
      assert.match(text, /siskinbeam-retried: 1\r\n/)
      assert.match(text, /siskinbeam-depth: 5\r\n/)
    })
    sent.length = 0
    await exchangeRaw(path.guestAddress, get('/desk/limits', `siskinbeam-retried: 1\r\n${closeHeader}`), 2_000)
    assert.equal(sent.length, 1)
    assert.match(sent[0]?.text ?? '', /siskinbeam-retried: 1\r\n/)
    sent.length = 0
    await exchangeRaw(path.guestAddress, post('/desk/bookings', 'x', closeHeader), 2_000)
    assert.doesNotMatch(sent[0]?.text ?? '', /siskinbeam-retried/)
  }))

test('a server that drains gets no new request while another serves, and its next boot brings it back', () => {
  let draining = false
  let boot = 'a'
  const signs = (server: number): string => server === 0 ? `server-boot: ${boot}\r\n${draining ? 'server-state: draining\r\n' : ''}` : 'server-boot: z\r\n'
  return withServers(({ server, socket }) => socket.write(answerText(String(server), signs(server))), async ({ path, sent }) => {
    const ask = async (until: () => boolean): Promise<void> => {
      sent.length = 0
      for (let asked = 0; !until() && asked < 200; asked += 1) await exchangeRaw(path.guestAddress, get('/desk/limits', closeHeader), 2_000)
    }
    const service = readService(path)
    // The policy `ours` may rightly leave out a server that answers more slowly while nothing is loaded.
    service.configuration.policy = LoadBalancingPolicy.Random
    const hasFirst = (): boolean => sent.some(({ server }) => server === 0)
    await ask(hasFirst)
    draining = true
    // An answer or a probe carries the sign.
    await ask(() => service.health.servers.get('desk-1')?.leaving !== undefined)
    await ask(() => sent.length === 30)
    assert.equal(hasFirst(), false)
    draining = false
    // The boot that drained stays out, whatever it says; the loop that probes is not part of the core.
    const probe = (): Promise<unknown> => probeServer(path.host, service, service.servers.get('desk-1') as ServerRuntime, true)
    await probe()
    await ask(() => sent.length === 30)
    assert.equal(hasFirst(), false)
    boot = 'b'
    await probe()
    await ask(hasFirst)
    assert.ok(hasFirst())
  }, signs)
})

test('a change of bundle keeps connections and learnt state, a removed server gets nothing new, and requests in progress end well', () => {
  const held: Sent[] = []
  return withServers(entry => {
    if (entry.text.includes('/held')) held.push(entry)
    else entry.socket.write(answerText(String(entry.server), `server-boot: boot-${entry.server}\r\n`))
  }, async ({ path, sent, sockets }) => {
    const ask = async (): Promise<string> => (await exchangeRaw(path.guestAddress, get('/desk/limits', closeHeader), 2_000)).received
    while (new Set(sent.map(({ server }) => server)).size < 2) await ask()
    const before = readService(path)
    const addresses = [...before.servers.values()].map(({ configuration }) => configuration.address)
    const guest = openGuest(path.guestAddress, post('/desk/bookings/held', 'lorry'))
    await waitUntil('the booking is at a server', () => held.length === 1)
    const removed = held[0]?.server as number
    const stays = 1 - removed
    const runtime = before.servers.get(`desk-${stays + 1}`)
    path.putInForce({ ...makeBundle(addresses, service => { service.servers = [service.servers[stays]] }), version: 2 })
    const after = readService(path)
    assert.equal(after.servers.get(`desk-${stays + 1}`), runtime)
    assert.equal(runtime?.boot, `boot-${stays}`)
    assert.equal(after.choice, before.choice)
    assert.deepEqual([...after.servers.keys()], [`desk-${stays + 1}`])
    const socketsBefore = new Set(sockets)
    sent.length = 0
    for (let asked = 0; asked < 20; asked += 1) assert.ok((await ask()).endsWith(String(stays)))
    assert.ok(sent.every(({ server }) => server === stays))
    // A probe may hold the open connection for a moment, so not every request finds it.
    assert.ok(sent.some(({ socket }) => socketsBefore.has(socket)), 'no connection was kept')
    path.putInForce({ ...makeBundle(addresses, service => Object.assign(service, { name: 'other', pathPrefix: '/other', routes: [{ methods: ['GET'], pathPrefix: '/other', idempotent: true, deadlineMilliseconds: 2_000 }] })), version: 3 })
    held[0]?.socket.write(answerText('booked'))
    await waitUntil('the booking is answered', () => guest.received().endsWith('booked'))
    guest.socket.destroy()
    assert.equal(before.admission.inFlight, 0)
    await waitUntil('connections to removed servers are closed', () => [...sockets].every(({ destroyed }) => destroyed))
  })
})
