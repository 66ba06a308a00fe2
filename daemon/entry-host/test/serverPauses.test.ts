// Guards against requests to a server within the time for which it has said that it wants none from this host.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { closeHeader, delay, formatGet, formatResponse, parseCode, parseOutcome, waitUntil } from './support/rawGuest.js'
import { exchangeRaw, makeBundle, startScriptedServer, startTestHost, type ScriptedServer, type TestHost } from './support/startTestHost.js'

const formatPause = (value: string): string => `HTTP/1.1 503 Paused\r\nnot-started: true\r\nserver-pause: ${value}\r\ncontent-length: 0\r\n\r\n`

async function withServers (pauses: Array<string | undefined>, run: (testHost: TestHost, servers: ScriptedServer[], resume: () => void) => Promise<void>): Promise<void> {
  let resumed = false
  const servers = await Promise.all(pauses.map(pause => startScriptedServer(socket => socket.write(pause === undefined || resumed ? formatResponse('served') : formatPause(pause)))))
  const testHost = await startTestHost(makeBundle(servers.map(({ address }) => address), service => { service.hedging = { enabled: false } }))
  try {
    await run(testHost, servers, () => { resumed = true })
  } finally {
    await Promise.all([testHost.stop(), ...servers.map(server => server.stop())])
  }
}

const send = (testHost: TestHost): Promise<string> => exchangeRaw(testHost.guestAddress, formatGet('/desk/x', closeHeader), 2_000).then(({ received }) => received)

test('a server that wants a pause gets no requests during it, while others serve, and gets some again afterwards', () => withServers(['1', undefined], async (testHost, [pausing], resume) => {
  assert.ok(pausing !== undefined)
  await waitUntil('the server has turned a request away', () => {
    send(testHost).catch(() => {})
    return pausing.requests.length > 0
  })
  await delay(100)
  const before = pausing.requests.length
  const responses = await Promise.all(Array.from({ length: 40 }, () => send(testHost)))
  assert.ok(responses.every(received => received.endsWith('served')))
  assert.equal(pausing.requests.length, before)
  resume()
  await waitUntil('the server is used again', () => {
    send(testHost).catch(() => {})
    return pausing.requests.length > before
  })
}))

test('if all servers want a pause, requests are refused at once as not run', () => withServers(['30', '20'], async (testHost, servers) => {
  const first = await send(testHost)
  assert.equal(parseCode(first), ResultCode.ServersPaused)
  const before = servers.map(({ requests }) => requests.length)
  const received = await send(testHost)
  assert.deepEqual([parseCode(received), parseOutcome(received)], [ResultCode.ServersPaused, 'not-run'])
  assert.ok(Number(/retry-after: (\d+)/.exec(received)?.[1]) >= 20)
  assert.deepEqual(servers.map(({ requests }) => requests.length), before)
}))

test('a pause without a defined meaning has no effect', () => withServers(['-1', 'soon'], async (testHost, servers) => {
  await send(testHost)
  await send(testHost)
  assert.ok(servers.every(({ requests }) => requests.length >= 2))
}))
