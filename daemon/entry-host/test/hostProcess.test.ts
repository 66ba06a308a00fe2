// Guards against an entry host process that crashes on received bytes, that sends a claimed request after its deadline
// when it was paused, or that truncates responses and loses settlements when it is stopped.
import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { after, before, test } from 'node:test'
import fc from 'fast-check'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { formatResponse, closeHeader, formatGet, connectGuest, delay, formatPost, parseCode, parseOutcome, waitUntil } from './support/rawGuest.js'
import { operatorKey, startProcess, type StartedProcess } from './support/startProcess.js'
import { exchangeRaw, makeBundle, startScriptedServer, type ScriptedServer } from './support/startTestHost.js'

const seed = 20_262
// More than the socket buffers of both sides hold (10 MB on Linux), so that a paused guest keeps the host writing.
const largeBody = 'x'.repeat(40_000_000)
const heldRequests: Array<{ socket: Socket, text: string }> = []
let server: ScriptedServer
let host: StartedProcess

before(async () => {
  server = await startScriptedServer((socket, text) => {
    if (text.startsWith('POST')) heldRequests.push({ socket, text })
    else socket.write(formatResponse(text.includes('/large') ? largeBody : 'alive'))
  })
  const bundle = makeBundle([server.address], service => service.routes.forEach((route: { deadlineMilliseconds: number }) => { route.deadlineMilliseconds = 30_000 }))
  // The address depends on the process ID, so that two runs on one machine don't conflict.
  host = await startProcess(`127.202.${process.pid % 250}.${1 + process.pid % 240}`, bundle, 1)
  await waitUntilServing()
})
after(async () => { await Promise.all([host.stop(), server.stop()]) })

async function waitUntilServing (): Promise<void> {
  let isServing = false
  for (let attempt = 0; !isServing && attempt < 200; attempt += 1) {
    isServing = (await exchangeRaw(host.guestAddress, formatGet('/desk/alive', closeHeader), 2_000)).received.endsWith('alive')
    if (!isServing) await delay(20)
  }
  assert.ok(isServing, 'the host does not serve')
}

/** Sends bytes and disconnects after 20 ms without traffic, unless the host closes the connection earlier. */
function sendBytes (address: string, bytes: Uint8Array): Promise<void> {
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
const baseInputs: Record<'guests' | 'operators' | 'peers', Buffer[]> = {
  guests: [formatGet('/desk/alive'), formatPost('/desk/upload', 'lorry'), 'POST /desk/upload HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nlorry\r\n0\r\n\r\n', formatGet('/.siskinbeam/addresses'), ''].map(text => Buffer.from(text)),
  operators: [`GET /metrics HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${operatorKey}\r\n\r\n`, 'GET /dump HTTP/1.1\r\nhost: x\r\n\r\n', ''].map(text => Buffer.from(text)),
  peers: [Buffer.concat([http2Preface, emptySettings]), Buffer.concat([http2Preface, emptySettings, Buffer.from([0, 0, 5, 1, 4, 0, 0, 0, 1])]), http2Preface, Buffer.alloc(0)]
}
const mutation = fc.record({ at: fc.double({ min: 0, max: 1, noNaN: true }), cut: fc.nat(4), insert: fc.uint8Array({ maxLength: 40 }) })

test('garbage and mutated requests on each port neither end the process nor stop it from serving', async () => {
  const addresses = { guests: host.guestAddress, operators: host.metricsAddress, peers: host.peerAddress }
  await Promise.all((Object.keys(baseInputs) as Array<keyof typeof baseInputs>).map(port =>
    fc.assert(fc.asyncProperty(fc.constantFrom(...baseInputs[port]), fc.array(mutation, { minLength: 1, maxLength: 4 }), async (input, mutations) => {
      const bytes = mutations.reduce((whole, { at, cut, insert }) => {
        const position = Math.floor(at * whole.length)
        return Buffer.concat([whole.subarray(0, position), insert, whole.subarray(position + cut)])
      }, input)
      await sendBytes(addresses[port], bytes)
      assert.equal(host.hasExited(), false)
    }), { seed, numRuns: 120 })))
  await waitUntilServing()
  heldRequests.splice(0).forEach(({ socket }) => socket.destroy())
})

test('a process that was paused past the deadline of a claimed request does not send it, and serves again', { timeout: 30_000 }, async () => {
  host.setTableFaults({ slowMilliseconds: 400 })
  const guest = connectGuest(host.guestAddress, formatPost('/desk/bookings', 'lorry', `idempotency-key: paused\r\nsiskinbeam-attempt: 1\r\nsiskinbeam-deadline: 1000\r\n${closeHeader}`))
  const rowIsThere = async (): Promise<boolean> => {
    const read = await host.table.read(['claim/desk/paused'])
    return read.ok && read.value.rows.length > 0
  }
  // The table service writes the claim after half of its delay and replies after the rest, so the reply waits for the paused process.
  while (!await rowIsThere()) await delay(5)
  host.child.kill('SIGSTOP')
  await delay(1_500)
  host.child.kill('SIGCONT')
  host.setTableFaults({ slowMilliseconds: 0 })
  await waitUntil('the guest has a response', guest.closed)
  assert.ok(['not-run', 'unknown'].includes(parseOutcome(guest.received()) ?? ''), guest.received())
  await waitUntilServing()
  assert.equal(heldRequests.length, 0, 'the booking was sent after its deadline')
})

test('a process that is told to stop completes requests in progress, refuses new ones with addresses of other hosts, and exits after its settlements', { timeout: 30_000 }, async () => {
  const booking = connectGuest(host.guestAddress, formatPost('/desk/bookings', 'lorry', 'idempotency-key: leaving\r\n'))
  // The table service runs in this process too and would reply late to the claim while the large body is sent.
  await waitUntil('the booking is at the server', () => heldRequests.length === 1).catch((error: unknown) => assert.fail(`${String(error)}: ${booking.received().slice(0, 300)}`))
  const reader = connectGuest(host.guestAddress, formatGet('/desk/large'))
  // The guest pauses at the first bytes, so that it can't read the complete response before the host is told to stop.
  reader.socket.once('data', () => reader.socket.pause())
  await waitUntil('the large response has started', () => reader.received().length > 0)
  assert.ok(reader.received().length < largeBody.length)
  host.child.kill('SIGTERM')
  await waitUntilServing()
  let refusal = ''
  while (parseCode(refusal) !== ResultCode.HostLeaving) {
    refusal = (await exchangeRaw(host.guestAddress, formatGet('/desk/alive', closeHeader), 2_000)).received
    assert.ok(refusal.endsWith('alive') || parseCode(refusal) === ResultCode.HostLeaving, refusal)
  }
  assert.equal(parseOutcome(refusal), 'not-run')
  assert.ok(Array.isArray((JSON.parse(refusal.split('\r\n\r\n')[1] ?? '') as { addresses: unknown }).addresses))
  assert.equal(host.hasExited(), false)
  host.setTableFaults({ slowMilliseconds: 200 })
  heldRequests[0]?.socket.write(formatResponse('booked'))
  await waitUntil('the response to the booking is received', () => booking.received().endsWith('booked'))
  // Once the settlement is stored, only the guest that is still reading keeps the process alive.
  const readRows = async (): Promise<string> => {
    const read = await host.table.read(['claim/desk/leaving'])
    return read.ok ? JSON.stringify(read.value.rows) : ''
  }
  while (!/settled/i.test(await readRows())) await delay(20)
  await delay(1_000)
  assert.equal(host.hasExited(), false, 'a guest is still reading')
  reader.socket.resume()
  await waitUntil('the large response is complete', () => reader.closed())
  assert.equal(reader.received().split('\r\n\r\n')[1]?.length, largeBody.length)
  assert.equal(await host.exited, 0)
  host.setTableFaults({ slowMilliseconds: 0 })
  assert.match(await readRows(), /settled/i)
})
