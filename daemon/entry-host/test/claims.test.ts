// Guards against non-idempotent requests that run twice, and against error responses that state a wrong outcome for
// them. Uses two entry hosts, a table service with injected faults, and scripted servers.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { serveTableService } from '@siskinbeam/stand-in-platform/serveTableService'
import { exchangeRaw, makeBundle, startTestHost, startScriptedServer, type ScriptedServer, type TestHost } from './support/startTestHost.js'

interface Setup {
  hosts: TestHost[]
  server: ScriptedServer
  table: Awaited<ReturnType<typeof serveTableService>>
  countRuns: () => number
}

const formatResponse = (body: string): string => `HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(body)}\r\ncontent-type: text/plain\r\n\r\n${body}`
const parseCode = (received: string): number => Number(/siskinbeam-account: code=(\d+)/.exec(received)?.[1])
const parseOutcome = (received: string): string | undefined => /siskinbeam-account: [^\r]*outcome=([a-z-]+)/.exec(received)?.[1]
const formatBooking = (key: string, body = 'lorry', headers = ''): string =>
  `POST /desk/bookings HTTP/1.1\r\nhost: x\r\nidempotency-key: ${key}\r\ncontent-length: ${body.length}\r\n${headers}connection: close\r\n\r\n${body}`
const firstAttempt = 'siskinbeam-attempt: 1\r\n'

async function withSetup (onRequest: Parameters<typeof startScriptedServer>[0], run: (setup: Setup) => Promise<void>): Promise<void> {
  const table = await serveTableService({ seed: 5 })
  const server = await startScriptedServer(onRequest)
  const hosts = await Promise.all(['entry-1', 'entry-2'].map(name => startTestHost(makeBundle([server.address]), table.address, name)))
  try {
    await run({ hosts, server, table, countRuns: () => server.requests.filter(text => text.startsWith('POST')).length })
  } finally {
    await Promise.all([...hosts.map(host => host.stop()), server.stop(), table.close()])
  }
}

const getGuestAddress = ({ hosts }: Setup, position: number): string => hosts[position]?.guestAddress ?? ''
const delay = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))

test('a resend through another entry host gets the stored response, and the request runs once', () =>
  withSetup(socket => socket.write(formatResponse('booked')), async setup => {
    const first = await exchangeRaw(getGuestAddress(setup, 0), formatBooking('key-1'))
    assert.match(first.received, /booked$/)
    await delay(500)
    const second = await exchangeRaw(getGuestAddress(setup, 1), formatBooking('key-1'))
    assert.match(second.received, /siskinbeam-replayed: true/)
    assert.match(second.received, /booked$/)
    assert.equal(setup.countRuns(), 1)
  }))

test('copies sent through two hosts at the same time run once, and both get the response', () =>
  withSetup(socket => setTimeout(() => socket.write(formatResponse('booked')), 30), async setup => {
    const responses = await Promise.all([0, 1].map(position => exchangeRaw(getGuestAddress(setup, position), formatBooking('key-2'), 2_500)))
    responses.forEach(({ received }) => assert.match(received, /booked$/))
    assert.equal(setup.countRuns(), 1)
  }))

test('a key reused with another body is refused with IdempotencyKeyReused', () =>
  withSetup(socket => socket.write(formatResponse('booked')), async setup => {
    await exchangeRaw(getGuestAddress(setup, 0), formatBooking('key-3'))
    const { received } = await exchangeRaw(getGuestAddress(setup, 1), formatBooking('key-3', 'other'))
    assert.equal(parseCode(received), ResultCode.IdempotencyKeyReused)
    assert.equal(setup.countRuns(), 1)
  }))

test('a broken server connection leaves the outcome unknown, also for a resend, which is not sent', () =>
  withSetup((socket, text) => {
    if (text.startsWith('POST')) socket.destroy()
  }, async setup => {
    const first = await exchangeRaw(getGuestAddress(setup, 0), formatBooking('key-4', 'lorry', firstAttempt), 1_500)
    assert.equal(parseOutcome(first.received), 'unknown')
    await delay(400)
    const second = await exchangeRaw(getGuestAddress(setup, 1), formatBooking('key-4', 'lorry', 'siskinbeam-attempt: 2\r\n'), 2_500)
    assert.equal(parseCode(second.received), ResultCode.ClaimAbandoned)
    assert.equal(parseOutcome(second.received), 'unknown')
    assert.equal(setup.countRuns(), 1)
  }))

test('during an outage of the table service, keyed requests are refused and idempotent ones are served', () =>
  withSetup(socket => socket.write(formatResponse('limits')), async setup => {
    setup.table.setFaults({ outage: true })
    const withAttemptHeader = await exchangeRaw(getGuestAddress(setup, 0), formatBooking('key-5', 'lorry', firstAttempt), 1_500)
    assert.equal(parseCode(withAttemptHeader.received), ResultCode.StoreUnavailable)
    assert.equal(parseOutcome(withAttemptHeader.received), 'not-run')
    const withoutAttemptHeader = await exchangeRaw(getGuestAddress(setup, 0), formatBooking('key-6'), 1_500)
    assert.equal(parseOutcome(withoutAttemptHeader.received), 'unknown')
    assert.equal(setup.countRuns(), 0)
    const lookup = await exchangeRaw(getGuestAddress(setup, 0), 'GET /desk/limits HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n')
    assert.match(lookup.received, /limits$/)
  }))

test('a request whose claim got no reply runs once', () =>
  withSetup(socket => socket.write(formatResponse('booked')), async setup => {
    setup.table.setFaults({ lostReplyShare: 1 })
    setTimeout(() => setup.table.setFaults({ lostReplyShare: 0 }), 100)
    const first = await exchangeRaw(getGuestAddress(setup, 0), formatBooking('key-7', 'lorry', firstAttempt), 2_500)
    const isAnswered = first.received.endsWith('booked')
    assert.ok(isAnswered || parseOutcome(first.received) === 'not-run', first.received)
    await delay(1_500)
    const second = await exchangeRaw(getGuestAddress(setup, 1), formatBooking('key-7', 'lorry', 'siskinbeam-attempt: 2\r\n'), 2_500)
    assert.match(second.received, /booked$/)
    assert.equal(setup.countRuns(), 1)
  }))

test('a refusal by every server is "not run", and the key may be used again', () => {
  let refuses = true
  return withSetup(socket => socket.write(refuses ? 'HTTP/1.1 503 Busy\r\nnot-started: true\r\ncontent-length: 0\r\n\r\n' : formatResponse('booked')), async setup => {
    const first = await exchangeRaw(getGuestAddress(setup, 0), formatBooking('key-8', 'lorry', firstAttempt), 1_500)
    assert.equal(parseOutcome(first.received), 'not-run')
    refuses = false
    await delay(600)
    const second = await exchangeRaw(getGuestAddress(setup, 1), formatBooking('key-8', 'lorry', 'siskinbeam-attempt: 2\r\n'), 2_500)
    assert.match(second.received, /booked$/)
    assert.equal(setup.countRuns(), 2)
  })
})

test('a host that refuses before it knows the route reports "not run" for a key only if the guest states its first attempt', () =>
  withSetup(socket => socket.write(formatResponse('booked')), async setup => {
    const refusing = await startTestHost(makeBundle([setup.server.address]), setup.table.address, 'entry-3', false)
    await exchangeRaw(getGuestAddress(setup, 0), formatBooking('key-9', 'lorry', firstAttempt))
    assert.equal(setup.countRuns(), 1)
    const resent = await exchangeRaw(refusing.guestAddress, formatBooking('key-9', 'lorry', 'siskinbeam-attempt: 2\r\n'))
    assert.equal(parseCode(resent.received), ResultCode.NoBundle)
    assert.equal(parseOutcome(resent.received), 'unknown')
    const first = await exchangeRaw(refusing.guestAddress, formatBooking('key-10', 'lorry', firstAttempt))
    assert.equal(parseOutcome(first.received), 'not-run')
    await refusing.stop()
  }))
