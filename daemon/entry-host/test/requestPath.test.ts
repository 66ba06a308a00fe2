// Guards against responses that are truncated or belong to another request, requests that run twice, and refusals
// without the siskinbeam-account header.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { exchangeRaw, makeBundle, startTestHost, startScriptedServer } from './support/startTestHost.js'

const formatResponse = (body: string, headers = ''): string => `HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${headers}\r\n${body}`
const parseCode = (received: string): number => Number(/siskinbeam-account: code=(\d+)/.exec(received)?.[1])
const parseOutcome = (received: string): string | undefined => /siskinbeam-account: [^\r]*outcome=([a-z-]+)/.exec(received)?.[1]
const formatGet = (path: string, headers = ''): string => `GET ${path} HTTP/1.1\r\nhost: x\r\n${headers}connection: close\r\n\r\n`
const formatPost = (path: string, body: string, headers = ''): string =>
  `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${headers}connection: close\r\n\r\n${body}`

test('a request is forwarded to a server and its response to the guest', async () => {
  const server = await startScriptedServer(socket => socket.write(formatResponse('hello', 'x-kept: 1\r\nkeep-alive: timeout=5\r\nserver-boot: b\r\n')))
  const testHost = await startTestHost(makeBundle([server.address]))
  const { received } = await exchangeRaw(testHost.guestAddress, formatGet('/desk/limits', 'x-sent: 2\r\nconnection: x-hop\r\nx-hop: 3\r\n'))
  assert.match(received, /^HTTP\/1.1 200 OK/)
  assert.match(received, /x-kept: 1/)
  assert.doesNotMatch(received, /server-boot|timeout=5/)
  assert.ok(received.endsWith('hello'))
  assert.match(server.requests[0] ?? '', /x-sent: 2/)
  assert.match(server.requests[0] ?? '', /siskinbeam-deadline: \d+/)
  assert.match(server.requests[0] ?? '', /siskinbeam-depth: 1\r\n/)
  assert.doesNotMatch(server.requests[0] ?? '', /x-hop/)
  await Promise.all([testHost.stop(), server.stop()])
})

test('a response that the server truncates is truncated at the guest and never ends cleanly', async () => {
  const chunked = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n'
  const stated = 'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhello'
  await Promise.all([chunked, stated].map(async text => {
    const server = await startScriptedServer(socket => socket.write(text, () => setTimeout(() => socket.destroy(), 20)))
    const testHost = await startTestHost(makeBundle([server.address]))
    const { received } = await exchangeRaw(testHost.guestAddress, formatGet('/desk/limits'))
    assert.match(received, /hello/)
    assert.doesNotMatch(received, /\r\n0\r\n/, 'no end of a chunked body')
    await Promise.all([testHost.stop(), server.stop()])
  }))
})

test('unsolicited bytes of a server never reach the next guest', async () => {
  const forged = formatResponse('forged')
  const scripts: Array<(count: number) => [string, number]> = [
    () => [forged, 30],
    () => [forged, 0],
    count => count === 1 ? [forged.slice(0, 20), 10] : ['', 0]
  ]
  await Promise.all(scripts.map(async script => {
    let count = 0
    const server = await startScriptedServer((socket, text) => {
      count += 1
      const [extra, delay] = script(count)
      const own = formatResponse(/GET (\S+)/.exec(text)?.[1] ?? '')
      if (delay === 0) socket.write(own + extra)
      else socket.write(own, () => setTimeout(() => socket.write(extra), delay))
    })
    const testHost = await startTestHost(makeBundle([server.address]))
    const paths = Array.from({ length: 6 }, (_, position) => `/desk/${position}`)
    for (const requestedPath of paths) {
      const { received } = await exchangeRaw(testHost.guestAddress, formatGet(requestedPath))
      assert.doesNotMatch(received, /forged/)
      assert.ok(received.endsWith(requestedPath), received)
      await new Promise(resolve => setTimeout(resolve, 60))
    }
    await Promise.all([testHost.stop(), server.stop()])
  }))
})

test('a response with the request ID of another request is not relayed', async () => {
  const server = await startScriptedServer(socket => socket.write(formatResponse('forged', 'siskinbeam-request-id: another\r\n')))
  const testHost = await startTestHost(makeBundle([server.address]))
  const { received } = await exchangeRaw(testHost.guestAddress, formatPost('/desk/bookings', 'x'))
  assert.equal(parseCode(received), ResultCode.AnswerMalformed)
  assert.equal(parseOutcome(received), 'unknown')
  await Promise.all([testHost.stop(), server.stop()])
})

test('a non-idempotent request is sent once if the server connection breaks, and its outcome is unknown', async () => {
  const servers = await Promise.all([1, 2, 3].map(() => startScriptedServer(socket => socket.destroy())))
  const testHost = await startTestHost(makeBundle(servers.map(({ address }) => address)))
  const { received } = await exchangeRaw(testHost.guestAddress, formatPost('/desk/bookings', 'x'))
  assert.equal(parseCode(received), ResultCode.ServerFailedAfterSend)
  assert.equal(parseOutcome(received), 'unknown')
  assert.equal(servers.flatMap(({ requests }) => requests).filter(text => text.startsWith('POST')).length, 1)
  await Promise.all([testHost.stop(), ...servers.map(server => server.stop())])
})

test('a non-idempotent request without a key is written once, also if the server refuses it', async () => {
  const refusal = 'HTTP/1.1 503 Busy\r\nnot-started: true\r\ncontent-length: 0\r\n\r\n'
  const servers = await Promise.all([1, 2].map(() => startScriptedServer(socket => socket.write(refusal))))
  const testHost = await startTestHost(makeBundle(servers.map(({ address }) => address)))
  const { received } = await exchangeRaw(testHost.guestAddress, formatPost('/desk/bookings', 'x'))
  assert.equal(parseCode(received), ResultCode.ServersRefused)
  assert.equal(parseOutcome(received), 'not-run')
  assert.equal(servers.flatMap(({ requests }) => requests).filter(text => text.startsWith('POST')).length, 1)
  await Promise.all([testHost.stop(), ...servers.map(server => server.stop())])
})

test('a request that a server refuses before the start is retried at another, and is "not run" if all refuse', async () => {
  const refusal = 'HTTP/1.1 503 Busy\r\nnot-started: true\r\ncontent-length: 0\r\n\r\n'
  const servers = await Promise.all([1, 2].map(() => startScriptedServer(socket => socket.write(refusal))))
  const testHost = await startTestHost(makeBundle(servers.map(({ address }) => address)))
  const { received } = await exchangeRaw(testHost.guestAddress, formatGet('/desk/limits'))
  assert.equal(parseCode(received), ResultCode.ServersRefused)
  assert.equal(parseOutcome(received), 'not-run')
  assert.equal(servers.flatMap(({ requests }) => requests).filter(text => text.startsWith('GET /desk')).length, 2)
  await Promise.all([testHost.stop(), ...servers.map(server => server.stop())])
})

test('a request whose deadline passes gets an error response', async () => {
  const server = await startScriptedServer(() => {})
  const testHost = await startTestHost(makeBundle([server.address]))
  const { received } = await exchangeRaw(testHost.guestAddress, formatGet('/desk/x', 'siskinbeam-deadline: 50\r\n'))
  assert.equal(parseCode(received), ResultCode.ServerTimedOut)
  await Promise.all([testHost.stop(), server.stop()])
})

const refusals: Array<[string, string, ResultCode]> = [
  ['two framings', 'POST /desk HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n', ResultCode.AmbiguousFraming],
  ['two content lengths', 'POST /desk HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc', ResultCode.AmbiguousFraming],
  ['garbage', '\u0000\u0001 garbage\r\n\r\n', ResultCode.MalformedRequest],
  ['large headers', `GET /desk HTTP/1.1\r\nhost: x\r\nx-large: ${'a'.repeat(20_000)}\r\n\r\n`, ResultCode.HeadersTooLarge],
  ['a long key', formatPost('/desk/bookings', 'x', `idempotency-key: ${'k'.repeat(300)}\r\n`), ResultCode.HeaderInvalid],
  ['a wrong deadline', formatGet('/desk', 'siskinbeam-deadline: soon\r\n'), ResultCode.HeaderInvalid],
  ['an unknown class', formatGet('/desk', 'siskinbeam-class: gold\r\n'), ResultCode.HeaderInvalid],
  ['a deep call tree', formatGet('/desk', 'siskinbeam-depth: 23\r\n'), ResultCode.CallTreeTooDeep],
  ['an unknown service', formatGet('/nowhere'), ResultCode.UnknownService],
  ['an unknown route', 'DELETE /desk HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n', ResultCode.UnknownRoute],
  ['a large body', `POST /desk HTTP/1.1\r\nhost: x\r\ncontent-length: 5000000\r\n\r\n${'a'.repeat(100)}`, ResultCode.BodyTooLarge],
  ['an upgrade', 'GET /desk HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n', ResultCode.UpgradeNotSupported]
]
refusals.forEach(([title, text, code]) => test(`${title}: refused with its own code and "not run", and the host still serves`, async () => {
  const server = await startScriptedServer(socket => socket.write(formatResponse('alive')))
  const testHost = await startTestHost(makeBundle([server.address]))
  const { received } = await exchangeRaw(testHost.guestAddress, text)
  assert.equal(parseCode(received), code, received)
  assert.equal(parseOutcome(received), 'not-run')
  assert.match((await exchangeRaw(testHost.guestAddress, formatGet('/desk'))).received, /alive$/)
  await Promise.all([testHost.stop(), server.stop()])
}))
