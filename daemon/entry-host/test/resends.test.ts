// Guards against hedges and retries that multiply work: repeated sends of non-idempotent requests, hedges that are not
// cancelled, an exceeded retry budget, and retries in several layers of a call tree.
import { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { recordRequestLatency } from '@siskinbeam/hedging/decideHedge'
import { probeServer } from '../src/servers/probeServer.js'
import type { ServerRuntime } from '../src/servers/serviceRuntime.js'
import { formatResponse, closeHeader, formatGet, connectGuest, formatPost, parseOutcome, getService, waitUntil } from './support/rawGuest.js'
import { exchangeRaw, makeBundle, startTestHost, startScriptedServer, type TestHost } from './support/startTestHost.js'

interface SentRequest { server: number, socket: Socket, text: string }
interface Setup { testHost: TestHost, sent: SentRequest[], sockets: Set<Socket> }

/** Starts two servers and a host that has recorded latencies of 10 ms. `sent` lists the requests without probes. */
async function withServers (onRequest: (sent: SentRequest, position: number) => void, run: (setup: Setup) => Promise<void>, getProbeHeaders: (server: number) => string = () => ''): Promise<void> {
  const sent: SentRequest[] = []
  const sockets = new Set<Socket>()
  const servers = await Promise.all([0, 1].map(server => startScriptedServer((socket, text) => {
    sockets.add(socket)
    if (text.includes('/.load')) return socket.write(formatResponse('', getProbeHeaders(server)))
    const entry = { server, socket, text }
    onRequest(entry, sent.push(entry))
  })))
  const testHost = await startTestHost(makeBundle(servers.map(({ address }) => address)))
  Array.from({ length: 64 }, () => recordRequestLatency(getService(testHost).hedging, 10))
  getService(testHost).retryBudget.tokens = 10
  try {
    await run({ testHost, sent, sockets })
  } finally {
    await Promise.all([testHost.stop(), ...servers.map(server => server.stop())])
  }
}

test('a hedge is sent to another server, its response is relayed, and the connection of the slower attempt is closed', () =>
  withServers((entry, position) => { if (position === 2) entry.socket.write(formatResponse('second')) }, async ({ testHost, sent }) => {
    const { received } = await exchangeRaw(testHost.guestAddress, formatGet('/desk/limits', closeHeader), 2_000)
    assert.match(received, /second$/)
    assert.deepEqual(sent.map(({ server }) => server).sort(), [0, 1])
    await waitUntil('the slower attempt is cancelled', () => sent[0]?.socket.destroyed === true)
    assert.equal(sent[1]?.socket.destroyed, false)
    assert.equal(testHost.host.metrics.snapshot()['hedges_total'], 1)
  }))

test('a hedge is cancelled if the first server responds earlier, and that response is relayed once', () =>
  withServers(() => {}, async ({ testHost, sent }) => {
    const guest = connectGuest(testHost.guestAddress, formatGet('/desk/limits'))
    await waitUntil('the hedge is sent', () => sent.length === 2)
    sent[0]?.socket.write(formatResponse('first'))
    await waitUntil('the response is received', () => guest.received().endsWith('first'))
    await waitUntil('the hedge is cancelled', () => sent[1]?.socket.destroyed === true)
    guest.socket.destroy()
  }))

test('a non-idempotent request is never hedged or retried', () =>
  withServers((entry, position) => { if (position > 1) entry.socket.destroy() }, async ({ testHost, sent }) => {
    const slow = await exchangeRaw(testHost.guestAddress, formatPost('/desk/bookings', 'lorry', `siskinbeam-deadline: 200\r\n${closeHeader}`), 2_000)
    assert.equal(parseOutcome(slow.received), 'unknown')
    const broken = await exchangeRaw(testHost.guestAddress, formatPost('/desk/bookings', 'lorry', closeHeader), 2_000)
    assert.equal(parseOutcome(broken.received), 'unknown')
    assert.equal(sent.length, 2)
  }))

test('retries of a failing service stay within the budget', () =>
  withServers(entry => entry.socket.destroy(), async ({ testHost, sent }) => {
    const { retryBudget } = getService(testHost)
    retryBudget.tokens = 0
    for (let attempt = 0; attempt < 60; attempt += 1) await exchangeRaw(testHost.guestAddress, formatGet('/desk/limits', closeHeader), 2_000)
    assert.equal(sent.length, 60 + retryBudget.furtherSends)
    assert.ok(retryBudget.furtherSends <= 0.1 * 60 + 2, `${retryBudget.furtherSends} further sends`)
  }))

test('a host that may retry states it in the siskinbeam-retried header, a host that receives the header does not retry, and the depth is incremented', () =>
  withServers(entry => entry.socket.destroy(), async ({ testHost, sent }) => {
    await exchangeRaw(testHost.guestAddress, formatGet('/desk/limits', `siskinbeam-depth: 4\r\n${closeHeader}`), 2_000)
    assert.equal(sent.length, 2)
    sent.forEach(({ text }) => {
      assert.match(text, /siskinbeam-retried: 1\r\n/)
      assert.match(text, /siskinbeam-depth: 5\r\n/)
    })
    sent.length = 0
    await exchangeRaw(testHost.guestAddress, formatGet('/desk/limits', `siskinbeam-retried: 1\r\n${closeHeader}`), 2_000)
    assert.equal(sent.length, 1)
    assert.match(sent[0]?.text ?? '', /siskinbeam-retried: 1\r\n/)
    sent.length = 0
    await exchangeRaw(testHost.guestAddress, formatPost('/desk/bookings', 'x', closeHeader), 2_000)
    assert.doesNotMatch(sent[0]?.text ?? '', /siskinbeam-retried/)
  }))

test('a draining server gets no new requests while another serves, and gets requests again after its next boot', () => {
  let draining = false
  let boot = 'a'
  const signs = (server: number): string => server === 0 ? `server-boot: ${boot}\r\n${draining ? 'server-state: draining\r\n' : ''}` : 'server-boot: z\r\n'
  return withServers(({ server, socket }) => socket.write(formatResponse(String(server), signs(server))), async ({ testHost, sent }) => {
    const sendUntil = async (until: () => boolean): Promise<void> => {
      sent.length = 0
      for (let attempt = 0; !until() && attempt < 200; attempt += 1) await exchangeRaw(testHost.guestAddress, formatGet('/desk/limits', closeHeader), 2_000)
    }
    const service = getService(testHost)
    // The policy `ours` may correctly avoid a server that responds more slowly while the load is low.
    service.configuration.policy = LoadBalancingPolicy.Random
    const hasFirst = (): boolean => sent.some(({ server }) => server === 0)
    await sendUntil(hasFirst)
    draining = true
    // Responses to requests and probes state that the server is draining.
    await sendUntil(() => service.health.servers.get('desk-1')?.leaving !== undefined)
    await sendUntil(() => sent.length === 30)
    assert.equal(hasFirst(), false)
    draining = false
    // A draining server gets no requests until its boot ID changes. The test host has no probing loop, so the test probes.
    const probe = (): Promise<unknown> => probeServer(testHost.host, service, service.servers.get('desk-1') as ServerRuntime, true)
    await probe()
    await sendUntil(() => sent.length === 30)
    assert.equal(hasFirst(), false)
    boot = 'b'
    await probe()
    await sendUntil(hasFirst)
    assert.ok(hasFirst())
  }, signs)
})

test('a bundle change keeps connections and recorded state, a removed server gets no new requests, and requests in progress complete', () => {
  const heldRequests: SentRequest[] = []
  return withServers(entry => {
    if (entry.text.includes('/held')) heldRequests.push(entry)
    else entry.socket.write(formatResponse(String(entry.server), `server-boot: boot-${entry.server}\r\n`))
  }, async ({ testHost, sent, sockets }) => {
    const sendRequest = async (): Promise<string> => (await exchangeRaw(testHost.guestAddress, formatGet('/desk/limits', closeHeader), 2_000)).received
    while (new Set(sent.map(({ server }) => server)).size < 2) await sendRequest()
    const before = getService(testHost)
    const addresses = [...before.servers.values()].map(({ configuration }) => configuration.address)
    const guest = connectGuest(testHost.guestAddress, formatPost('/desk/bookings/held', 'lorry'))
    await waitUntil('the booking is at a server', () => heldRequests.length === 1)
    const removed = heldRequests[0]?.server as number
    const retained = 1 - removed
    const runtime = before.servers.get(`desk-${retained + 1}`)
    testHost.activateBundle({ ...makeBundle(addresses, service => { service.servers = [service.servers[retained]] }), version: 2 })
    const after = getService(testHost)
    assert.equal(after.servers.get(`desk-${retained + 1}`), runtime)
    assert.equal(runtime?.boot, `boot-${retained}`)
    assert.equal(after.choice, before.choice)
    assert.deepEqual([...after.servers.keys()], [`desk-${retained + 1}`])
    const socketsBefore = new Set(sockets)
    sent.length = 0
    for (let attempt = 0; attempt < 20; attempt += 1) assert.ok((await sendRequest()).endsWith(String(retained)))
    assert.ok(sent.every(({ server }) => server === retained))
    // A probe may briefly occupy the open connection, so not every request reuses it.
    assert.ok(sent.some(({ socket }) => socketsBefore.has(socket)), 'no connection was reused')
    testHost.activateBundle({ ...makeBundle(addresses, service => Object.assign(service, { name: 'other', pathPrefix: '/other', routes: [{ methods: ['GET'], pathPrefix: '/other', idempotent: true, deadlineMilliseconds: 2_000 }] })), version: 3 })
    heldRequests[0]?.socket.write(formatResponse('booked'))
    await waitUntil('the response to the booking is received', () => guest.received().endsWith('booked'))
    guest.socket.destroy()
    assert.equal(before.admission.inFlight, 0)
    await waitUntil('connections to removed servers are closed', () => [...sockets].every(({ destroyed }) => destroyed))
  })
})
