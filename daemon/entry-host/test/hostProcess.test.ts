// Guards against a process of an entry host that ends on bytes from outside, that sends a claimed request
// late after a pause, or that cuts answers and loses settlements when it is stopped.
import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { after, before, test } from 'node:test'
import fc from 'fast-check'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { answerText, closeHeader, get, openGuest, pause, post, readCode, readOutcome, waitUntil } from './support/rawGuest.js'
import { operatorKey, startProcess, type StartedProcess } from './support/startProcess.js'
import { exchangeRaw, makeBundle, startScriptedServer, type ScriptedServer } from './support/startPath.js'

const seed = 20_262
// More than the socket buffers of both sides hold (10 MB on Linux), so that a paused guest keeps the host writing.
const largeAnswer = 'x'.repeat(40_000_000)
const held: Array<{ socket: Socket, text: string }> = []
let server: ScriptedServer
let host: StartedProcess

before(async () => {
  server = await startScriptedServer((socket, text) => {
    if (text.startsWith('POST')) held.push({ socket, text })
    else socket.write(answerText(text.includes('/large') ? largeAnswer : 'alive'))
  })
  const bundle = makeBundle([server.address], service => service.routes.forEach((route: { deadlineMilliseconds: number }) => { route.deadlineMilliseconds = 30_000 }))
  // Two runs on one machine don't meet.
  host = await startProcess(`127.202.${process.pid % 250}.${1 + process.pid % 240}`, bundle, 1)
  await waitUntilServing()
})
after(async () => { await Promise.all([host.stop(), server.stop()]) })

async function waitUntilServing (): Promise<void> {
  let isServing = false
  for (let asked = 0; !isServing && asked < 200; asked += 1) {
    isServing = (await exchangeRaw(host.guestAddress, get('/desk/alive', closeHeader), 2_000)).received.endsWith('alive')
    if (!isServing) await pause(20)
  }
  assert.ok(isServing, 'the host does not serve')
}

/** Sends bytes and leaves when the host closes the connection, or soon. */
function throwBytes (address: string, bytes: Uint8Array): Promise<void> {
  const [ip, port] = address.split(':')
  return new Promise(resolve => {
    const socket = connect(Number(port), ip)
    socket.setTimeout(20, () => socket.destroy())
    socket.on('error', () => {})
    socket.on('close', () => resolve())
    socket.resume()
    socket.write(bytes)
  })
}

const http2Preface = Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n')
const emptySettings = Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0])
const openings: Record<'guests' | 'operators' | 'peers', Buffer[]> = {
  guests: [get('/desk/alive'), post('/desk/upload', 'lorry'), 'POST /desk/upload HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nlorry\r\n0\r\n\r\n', get('/.siskinbeam/addresses'), ''].map(text => Buffer.from(text)),
  operators: [`GET /metrics HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${operatorKey}\r\n\r\n`, 'GET /dump HTTP/1.1\r\nhost: x\r\n\r\n', ''].map(text => Buffer.from(text)),
  peers: [Buffer.concat([http2Preface, emptySettings]), Buffer.concat([http2Preface, emptySettings, Buffer.from([0, 0, 5, 1, 4, 0, 0, 0, 1])]), http2Preface, Buffer.alloc(0)]
}
const mutation = fc.record({ at: fc.double({ min: 0, max: 1, noNaN: true }), cut: fc.nat(4), insert: fc.uint8Array({ maxLength: 40 }) })

test('garbage and mutated requests on each port neither end the process nor stop it from serving', async () => {
  const addresses = { guests: host.guestAddress, operators: host.metricsAddress, peers: host.peerAddress }
  await Promise.all((Object.keys(openings) as Array<keyof typeof openings>).map(port =>
    fc.assert(fc.asyncProperty(fc.constantFrom(...openings[port]), fc.array(mutation, { minLength: 1, maxLength: 4 }), async (opening, mutations) => {
      const bytes = mutations.reduce((whole, { at, cut, insert }) => {
        const position = Math.floor(at * whole.length)
        return Buffer.concat([whole.subarray(0, position), insert, whole.subarray(position + cut)])
      }, opening)
      await throwBytes(addresses[port], bytes)
      assert.equal(host.hasExited(), false)
    }), { seed, numRuns: 120 })))
  await waitUntilServing()
  held.splice(0).forEach(({ socket }) => socket.destroy())
})

test('a process that was paused over the deadline of a claimed request does not send it, and serves again', { timeout: 30_000 }, async () => {
  host.setTableFaults({ slowMilliseconds: 400 })
  const guest = openGuest(host.guestAddress, post('/desk/bookings', 'lorry', `idempotency-key: paused\r\nsiskinbeam-attempt: 1\r\nsiskinbeam-deadline: 1000\r\n${closeHeader}`))
  const rowIsThere = async (): Promise<boolean> => {
    const read = await host.table.read(['claim/desk/paused'])
    return read.ok && read.value.rows.length > 0
  }
  // The claim takes effect half of the slowness before its reply, which then waits for the paused process.
  while (!await rowIsThere()) await pause(5)
  host.child.kill('SIGSTOP')
  await pause(1_500)
  host.child.kill('SIGCONT')
  host.setTableFaults({ slowMilliseconds: 0 })
  await waitUntil('the guest has an answer', guest.closed)
  assert.ok(['not-run', 'unknown'].includes(readOutcome(guest.received()) ?? ''), guest.received())
  await waitUntilServing()
  assert.equal(held.length, 0, 'the booking was sent after its deadline')
})

test('a process that is told to stop completes what runs, refuses the rest with addresses, and exits after its settlements', { timeout: 30_000 }, async () => {
  const booking = openGuest(host.guestAddress, post('/desk/bookings', 'lorry', 'idempotency-key: leaving\r\n'))
  // This process also runs the table service, which would answer the claim late beside the large answer.
  await waitUntil('the booking is at the server', () => held.length === 1).catch((error: unknown) => assert.fail(`${String(error)}: ${booking.received().slice(0, 300)}`))
  const reader = openGuest(host.guestAddress, get('/desk/large'))
  // Paused at its first bytes, the guest can't have read the whole answer before the host is told to stop.
  reader.socket.once('data', () => reader.socket.pause())
  await waitUntil('the large answer has begun', () => reader.received().length > 0)
  assert.ok(reader.received().length < largeAnswer.length)
  host.child.kill('SIGTERM')
  await waitUntilServing()
  let refusal = ''
  while (readCode(refusal) !== ResultCode.HostLeaving) {
    refusal = (await exchangeRaw(host.guestAddress, get('/desk/alive', closeHeader), 2_000)).received
    assert.ok(refusal.endsWith('alive') || readCode(refusal) === ResultCode.HostLeaving, refusal)
  }
  assert.equal(readOutcome(refusal), 'not-run')
  assert.ok(Array.isArray((JSON.parse(refusal.split('\r\n\r\n')[1] ?? '') as { addresses: unknown }).addresses))
  assert.equal(host.hasExited(), false)
  host.setTableFaults({ slowMilliseconds: 200 })
  held[0]?.socket.write(answerText('booked'))
  await waitUntil('the booking is answered', () => booking.received().endsWith('booked'))
  // Once the settlement is stored, only the guest that still reads keeps the process.
  const readRows = async (): Promise<string> => {
    const read = await host.table.read(['claim/desk/leaving'])
    return read.ok ? JSON.stringify(read.value.rows) : ''
  }
  while (!/settled/i.test(await readRows())) await pause(20)
  await pause(1_000)
  assert.equal(host.hasExited(), false, 'a guest still reads')
  reader.socket.resume()
  await waitUntil('the large answer is whole', () => reader.closed())
  assert.equal(reader.received().split('\r\n\r\n')[1]?.length, largeAnswer.length)
  assert.equal(await host.exited, 0)
  host.setTableFaults({ slowMilliseconds: 0 })
  assert.match(await readRows(), /settled/i)
})
