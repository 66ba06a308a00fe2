// Guards server and client of peers over real sockets on the loopback address: against callers without a key, bytes
// that are not HTTP/2, messages over the size limit, unresponsive peers, and sessions that are not reused.
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect as connectHttp2 } from 'node:http2'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { after, before, test } from 'node:test'
import { setImmediate } from 'node:timers/promises'
import fastCheck from 'fast-check'
import { fail } from '@siskinbeam/result-codes/codedError'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { createPeerClient, type PeerClient } from '../src/createPeerClient.js'
import { createPeerClients } from '../src/createPeerClients.js'
import { maximumRequestBytes } from '../src/peerLimits.js'
import type { PeerServer } from '../src/servePeers.js'
import { startCountingProxy } from '../src/measurement/startCountingProxy.js'
import { createSampleMessage, operatorKey, peerKey, startSamplePeer } from '../src/measurement/startSamplePeer.js'

const timeoutMilliseconds = 2_000
const message = createSampleMessage(7, 32)
let server: PeerServer
const clients: PeerClient[] = []
const call = (key: string, address = server.address, timeout = timeoutMilliseconds): PeerClient => {
  const client = createPeerClient({ address, key, timeoutMilliseconds: timeout })
  clients.push(client)
  return client
}
const connectTo = (address: string): Socket => connect(Number(address.split(':')[1]), '127.0.0.1')
const codeOf = (result: { ok: boolean, error?: { code: ResultCode } }): ResultCode | undefined => result.ok ? undefined : result.error?.code

before(async () => {
  server = await startSamplePeer({ fetchBundle: async version => version === 404 ? fail(ResultCode.BundleNotFound, 'no such bundle') : { ok: true, value: { version, bundle: Buffer.alloc(1_000_000, 7) } } })
})
after(async () => {
  clients.forEach(client => { client.close() })
  await server.close(100)
})

test('the peer key and the operator key each authorize only their methods, and other keys none', async () => {
  const allowed = async (key: string): Promise<Array<ResultCode | undefined>> => {
    const client = call(key)
    return (await Promise.all([client.exchange(message), client.fetchBundle(7), client.status(), client.dump()])).map(codeOf)
  }
  assert.deepEqual(await allowed(peerKey), [undefined, undefined, undefined, ResultCode.NotAuthorized])
  assert.deepEqual(await allowed(operatorKey), [ResultCode.NotAuthorized, undefined, undefined, undefined])
  const none = Array(4).fill(ResultCode.NotAuthorized)
  assert.deepEqual([await allowed(peerKey + '0'), await allowed('')], [none, none])
})

test('responses arrive unchanged, and a missing bundle has its own result code', async () => {
  assert.deepEqual(await call(peerKey).exchange(message), { ok: true, value: message })
  assert.deepEqual(await call(peerKey).fetchBundle(7), { ok: true, value: { version: 7, bundle: new Uint8Array(1_000_000).fill(7) } })
  assert.equal(codeOf(await call(peerKey).fetchBundle(404)), ResultCode.BundleNotFound)
})

test('bytes that are not HTTP/2 end only their own connection', async () => {
  const garbage = fastCheck.sample(fastCheck.uint8Array({ minLength: 1, maxLength: 2_000 }), { seed: 20_261_204, numRuns: 30 })
  const preface = Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n')
  await Promise.all([...garbage, ...garbage.map(bytes => Buffer.concat([preface, bytes])), Buffer.from('GET / HTTP/1.1\r\nhost: a\r\n\r\n')].map(async bytes => {
    const socket = connectTo(server.address).on('error', () => undefined).end(bytes).resume()
    await once(socket, 'close')
  }))
  assert.equal(codeOf(await call(peerKey).exchange(message)), undefined)
})

test('a request that is over the size limit or not protobuf is refused, and the server keeps running', async () => {
  const session = connectHttp2(`http://${server.address}`)
  session.on('error', () => undefined)
  const post = async (body: Buffer): Promise<number> => {
    const stream = session.request({ ':method': 'POST', ':path': '/siskinbeam.peer.v1.Peer/Exchange', 'content-type': 'application/proto', 'connect-protocol-version': '1', authorization: `Bearer ${peerKey}` })
    stream.on('error', () => undefined).end(body).resume()
    const [headers] = await once(stream, 'response') as [Record<string, unknown>]
    return Number(headers[':status'])
  }
  assert.ok(await post(Buffer.alloc(maximumRequestBytes + 1, 10)) >= 400)
  assert.ok(await post(Buffer.from([255, 255, 255])) >= 400)
  session.close()
  assert.equal(codeOf(await call(peerKey).exchange(message)), undefined)
})

test('a peer that refuses, does not respond or sends garbage results in code 605, and a timeout opens a new connection', async () => {
  const garbageServer = createServer(socket => { socket.on('error', () => undefined).end('HTTP/1.1 400 Bad Request\r\n\r\n') })
  let unresponsive = true
  const unresponsiveServer = createServer(socket => {
    socket.on('error', () => undefined)
    if (unresponsive) return
    socket.pipe(connectTo(server.address)).pipe(socket)
  })
  const addresses = await Promise.all([garbageServer, unresponsiveServer].map(async listener => {
    listener.listen(0, '127.0.0.1')
    await once(listener, 'listening')
    return `127.0.0.1:${(listener.address() as AddressInfo).port}`
  }))
  assert.equal(codeOf(await call(peerKey, '127.0.0.1:1').exchange(message)), ResultCode.HostUnreachable)
  assert.equal(codeOf(await call(peerKey, addresses[0]).exchange(message)), ResultCode.HostUnreachable)
  const client = call(peerKey, addresses[1], 200)
  assert.equal(codeOf(await client.exchange(message)), ResultCode.HostUnreachable)
  unresponsive = false
  assert.equal(codeOf(await client.exchange(message)), undefined)
  client.close()
  garbageServer.close()
  unresponsiveServer.close()
})

test('the server closes without an error when a client aborts its session at the same time', async () => {
  const peer = await startSamplePeer()
  const client = call(peerKey, peer.address)
  assert.equal(codeOf(await client.exchange(message)), undefined)
  // The stream of the call closes in a later iteration of the event loop; the session is idle only after that.
  await setImmediate()
  client.close()
  await peer.close(1_000)
  assert.equal(peer.sessions(), 0)
})

test('calls share one session, the cache is bounded and closes idle clients, and the server closes cleanly', async () => {
  const peer = await startSamplePeer()
  const proxy = await startCountingProxy(peer.address)
  let now = 0
  const cache = createPeerClients({ key: peerKey, timeoutMilliseconds, now: () => now, idleMilliseconds: 100, maximumClients: 2 })
  await Array.from({ length: 20 }).reduce<Promise<unknown>>(previous => previous.then(() => cache.get(proxy.address).exchange(message)), Promise.resolve())
  assert.equal(proxy.connections(), 1)
  ;['127.0.0.1:1', '127.0.0.1:2'].forEach(address => { cache.get(address) })
  assert.equal(cache.size(), 2)
  now = 200
  cache.closeIdle()
  assert.equal(cache.size(), 0)
  assert.equal(codeOf(await cache.get(peer.address).exchange(message)), undefined)
  await peer.close(1_000)
  assert.equal(peer.sessions(), 0)
  assert.equal(codeOf(await cache.get(peer.address).exchange(message)), ResultCode.HostUnreachable)
  cache.closeAll()
  proxy.close()
})
