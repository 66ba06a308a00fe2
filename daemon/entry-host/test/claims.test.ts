// Guards against a non-idempotent request that runs twice, and against an account of it that is wrong:
// two entry hosts, one table service with faults, and servers that a test controls.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { serveTableService } from '@siskinbeam/stand-in-platform/serveTableService'
import { exchangeRaw, makeBundle, startPath, startScriptedServer, type ScriptedServer, type StartedPath } from './support/startPath.js'

interface Setup {
  hosts: StartedPath[]
  server: ScriptedServer
  table: Awaited<ReturnType<typeof serveTableService>>
  runs: () => number
}

const answerText = (body: string): string => `HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(body)}\r\ncontent-type: text/plain\r\n\r\n${body}`
const readCode = (received: string): number => Number(/siskinbeam-account: code=(\d+)/.exec(received)?.[1])
const readOutcome = (received: string): string | undefined => /siskinbeam-account: [^\r]*outcome=([a-z-]+)/.exec(received)?.[1]
const book = (key: string, body = 'lorry', headers = ''): string =>
  `POST /desk/bookings HTTP/1.1\r\nhost: x\r\nidempotency-key: ${key}\r\ncontent-length: ${body.length}\r\n${headers}connection: close\r\n\r\n${body}`
const firstAttempt = 'siskinbeam-attempt: 1\r\n'

async function withSetup (answer: Parameters<typeof startScriptedServer>[0], act: (setup: Setup) => Promise<void>): Promise<void> {
  const table = await serveTableService({ seed: 5 })
  const server = await startScriptedServer(answer)
  const hosts = await Promise.all(['entry-1', 'entry-2'].map(name => startPath(makeBundle([server.address]), table.address, name)))
  try {
    await act({ hosts, server, table, runs: () => server.requests.filter(text => text.startsWith('POST')).length })
  } finally {
    await Promise.all([...hosts.map(host => host.stop()), server.stop(), table.close()])
  }
}

const addressOf = ({ hosts }: Setup, position: number): string => hosts[position]?.guestAddress ?? ''
const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))

test('a resend through another entry host gets the stored answer, and the request runs once', () =>
  withSetup(socket => socket.write(answerText('booked')), async setup => {
    const first = await exchangeRaw(addressOf(setup, 0), book('key-1'))
    assert.match(first.received, /booked$/)
    await wait(500)
    const second = await exchangeRaw(addressOf(setup, 1), book('key-1'))
    assert.match(second.received, /siskinbeam-replayed: true/)
    assert.match(second.received, /booked$/)
    assert.equal(setup.runs(), 1)
  }))

test('copies sent through two hosts at the same time run once, and both learn the answer', () =>
  withSetup(socket => setTimeout(() => socket.write(answerText('booked')), 30), async setup => {
    const answers = await Promise.all([0, 1].map(position => exchangeRaw(addressOf(setup, position), book('key-2'), 2_500)))
    answers.forEach(({ received }) => assert.match(received, /booked$/))
    assert.equal(setup.runs(), 1)
  }))

test('a key with another body is refused with its own code', () =>
  withSetup(socket => socket.write(answerText('booked')), async setup => {
    await exchangeRaw(addressOf(setup, 0), book('key-3'))
    const { received } = await exchangeRaw(addressOf(setup, 1), book('key-3', 'other'))
    assert.equal(readCode(received), ResultCode.IdempotencyKeyReused)
    assert.equal(setup.runs(), 1)
  }))

test('a server that breaks leaves the outcome unknown, also for a resend, which is not sent', () =>
  withSetup((socket, text) => {
    if (text.startsWith('POST')) socket.destroy()
  }, async setup => {
    const first = await exchangeRaw(addressOf(setup, 0), book('key-4', 'lorry', firstAttempt), 1_500)
    assert.equal(readOutcome(first.received), 'unknown')
    await wait(400)
    const second = await exchangeRaw(addressOf(setup, 1), book('key-4', 'lorry', 'siskinbeam-attempt: 2\r\n'), 2_500)
    assert.equal(readCode(second.received), ResultCode.ClaimAbandoned)
    assert.equal(readOutcome(second.received), 'unknown')
    assert.equal(setup.runs(), 1)
  }))

test('in an outage of the table service keyed requests are refused and idempotent ones are served', () =>
  withSetup(socket => socket.write(answerText('limits')), async setup => {
    setup.table.setFaults({ outage: true })
    const declared = await exchangeRaw(addressOf(setup, 0), book('key-5', 'lorry', firstAttempt), 1_500)
    assert.equal(readCode(declared.received), ResultCode.StoreUnavailable)
    assert.equal(readOutcome(declared.received), 'not-run')
    const undeclared = await exchangeRaw(addressOf(setup, 0), book('key-6'), 1_500)
    assert.equal(readOutcome(undeclared.received), 'unknown')
    assert.equal(setup.runs(), 0)
    const lookup = await exchangeRaw(addressOf(setup, 0), 'GET /desk/limits HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n')
    assert.match(lookup.received, /limits$/)
  }))

test('a request whose claim got no reply runs once', () =>
  withSetup(socket => socket.write(answerText('booked')), async setup => {
    setup.table.setFaults({ lostReplyShare: 1 })
    setTimeout(() => setup.table.setFaults({ lostReplyShare: 0 }), 100)
    const first = await exchangeRaw(addressOf(setup, 0), book('key-7', 'lorry', firstAttempt), 2_500)
    const isAnswered = first.received.endsWith('booked')
    assert.ok(isAnswered || readOutcome(first.received) === 'not-run', first.received)
    await wait(1_500)
    const second = await exchangeRaw(addressOf(setup, 1), book('key-7', 'lorry', 'siskinbeam-attempt: 2\r\n'), 2_500)
    assert.match(second.received, /booked$/)
    assert.equal(setup.runs(), 1)
  }))

test('a refusal by every server is "not run", and the key may be used again', () => {
  let refuses = true
  return withSetup(socket => socket.write(refuses ? 'HTTP/1.1 503 Busy\r\nnot-started: true\r\ncontent-length: 0\r\n\r\n' : answerText('booked')), async setup => {
    const first = await exchangeRaw(addressOf(setup, 0), book('key-8', 'lorry', firstAttempt), 1_500)
    assert.equal(readOutcome(first.received), 'not-run')
    refuses = false
    await wait(600)
    const second = await exchangeRaw(addressOf(setup, 1), book('key-8', 'lorry', 'siskinbeam-attempt: 2\r\n'), 2_500)
    assert.match(second.received, /booked$/)
    assert.equal(setup.runs(), 2)
  })
})

test('a host that refuses before it knows the route says "not run" of a key only if the guest sends it for the first time', () =>
  withSetup(socket => socket.write(answerText('booked')), async setup => {
    const refusing = await startPath(makeBundle([setup.server.address]), setup.table.address, 'entry-3', false)
    await exchangeRaw(addressOf(setup, 0), book('key-9', 'lorry', firstAttempt))
    assert.equal(setup.runs(), 1)
    const resent = await exchangeRaw(refusing.guestAddress, book('key-9', 'lorry', 'siskinbeam-attempt: 2\r\n'))
    assert.equal(readCode(resent.received), ResultCode.NoBundle)
    assert.equal(readOutcome(resent.received), 'unknown')
    const first = await exchangeRaw(refusing.guestAddress, book('key-10', 'lorry', firstAttempt))
    assert.equal(readOutcome(first.received), 'not-run')
    await refusing.stop()
  }))
