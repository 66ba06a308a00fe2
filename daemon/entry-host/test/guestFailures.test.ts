// Guards against guests that leave, send slowly or send nonsense: connections and claims that stay open
// for ever, servers blamed for what a guest did, and accounts that are wrong.
import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { serveTableService } from '@siskinbeam/stand-in-platform/serveTableService'
import { answerText, checkServes, closeHeader, countBusy, get, openGuest, pause, post, readCode, readOutcome, readService, waitUntil } from './support/rawGuest.js'
import { exchangeRaw, makeBundle, startPath, startScriptedServer, type ScriptedServer, type StartedPath } from './support/startPath.js'

type Answer = Parameters<typeof startScriptedServer>[0]

async function withPath (answer: Answer, act: (path: StartedPath, server: ScriptedServer) => Promise<void>, change?: (service: any) => void, tableAddress?: string): Promise<void> {
  const server = await startScriptedServer(answer)
  const path = await startPath(makeBundle([server.address], change), tableAddress)
  try {
    await act(path, server)
  } finally {
    await Promise.all([path.stop(), server.stop()])
  }
}

const chunkedHead = (method: string, path: string): string => `${method} ${path} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n`
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
const largeBody = 'x'.repeat(400_000)
const answerAlive: Answer = (socket, text) => { if (/\/alive|\/\.load/.test(text)) socket.write(answerText('alive')) }

test('a chunked body of a GET stays the body of that request at the server', () =>
  withPath(socket => socket.write(answerText('ok')), async (path, server) => {
    const inner = get('/desk/smuggled')
    await exchangeRaw(path.guestAddress, `${chunkedHead('GET', '/desk/outer')}${chunk(inner)}0\r\n\r\n`)
    const sent = server.requests.join('')
    assert.match(sent, /^GET \/desk\/outer/)
    assert.match(sent.split('\r\n\r\n')[0] ?? '', /transfer-encoding: chunked/i)
    assert.ok(sent.includes(chunk(inner)), sent)
  }))

test('a guest can\'t remove the framing of its body by naming it in the connection header', () =>
  withPath(socket => socket.write(answerText('ok')), async (path, server) => {
    const body = 'b'.repeat(70_000)
    await exchangeRaw(path.guestAddress, `GET /desk/outer HTTP/1.1\r\nhost: x\r\nconnection: content-length\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    assert.match(server.requests.join('').split('\r\n\r\n')[0] ?? '', /transfer-encoding: chunked|content-length: 70000/i)
  }))

const nonsense: Array<[string, string]> = [
  ['garbage', '\u0000\u0001 nonsense\r\n\r\n'],
  ['an upgrade', 'GET /desk/upgrade HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n']
]
nonsense.forEach(([title, text]) => test(`${title} after a request in progress is not answered in the place of that request`, () =>
  withPath(answerAlive, async (path, server) => {
    const guest = openGuest(path.guestAddress, post('/desk/bookings', 'lorry'))
    await waitUntil('the booking is at the server', () => server.requests.length === 1)
    guest.socket.write(text)
    await waitUntil('the connection is closed', guest.closed)
    assert.equal(guest.received(), '')
    await checkServes(path, 'alive')
  })))

test('a streamed body that turns into nonsense is not accounted for as "not run"', () =>
  withPath(answerAlive, async (path, server) => {
    const guest = openGuest(path.guestAddress, chunkedHead('POST', '/desk/bookings') + chunk('lorry'))
    await waitUntil('the booking is at the server', () => server.requests.join('').includes('lorry'))
    guest.socket.write('nonsense\r\n')
    await waitUntil('the connection is closed', guest.closed)
    assert.notEqual(readOutcome(guest.received()), 'not-run')
    await waitUntil('the connection to the server is closed', () => countBusy(path) === 0)
    await checkServes(path, 'alive')
  }))

test('a streamed upload of several megabytes arrives whole, and is not sent twice when the server breaks', async () => {
  const body = Array.from({ length: 48 }, () => chunk('u'.repeat(65_536))).join('')
  const change = (service: any): void => { service.maximumBodyBytes = 8_388_608 }
  let bytes = 0
  await withPath((socket, text) => {
    bytes += text.length
    if (text.endsWith('0\r\n\r\n')) socket.write(answerText('stored'))
  }, async path => {
    const { received } = await exchangeRaw(path.guestAddress, `${chunkedHead('POST', '/desk/upload')}${body}0\r\n\r\n`, 2_000)
    assert.match(received, /stored$/)
    assert.ok(bytes > 48 * 65_536)
  }, change)
  const servers = await Promise.all([1, 2].map(() => startScriptedServer(socket => socket.destroy())))
  const path = await startPath(makeBundle(servers.map(({ address }) => address), change))
  const { received } = await exchangeRaw(path.guestAddress, `${chunkedHead('POST', '/desk/upload')}${body}0\r\n\r\n`, 2_000)
  assert.notEqual(readOutcome(received), 'not-run')
  assert.equal(servers.flatMap(({ requests }) => requests).filter(text => text.startsWith('POST')).length, 1)
  await Promise.all([path.stop(), ...servers.map(server => server.stop())])
})

test('a chunked body over the limit of the service is cut off', () =>
  withPath(answerAlive, async (path, server) => {
    const guest = openGuest(path.guestAddress, chunkedHead('POST', '/desk/upload'))
    Array.from({ length: 64 }, () => guest.socket.write(chunk('u'.repeat(16_384))))
    await waitUntil('the connection is closed', guest.closed)
    assert.notEqual(readOutcome(guest.received()), 'not-run')
    assert.ok(server.requests.join('').length < 200_000, `${server.requests.join('').length} bytes passed`)
    await waitUntil('the connection to the server is closed', () => countBusy(path) === 0)
    await checkServes(path, 'alive')
  }, service => { service.maximumBodyBytes = 100_000 }))

test('a guest that leaves in the middle of a streamed booking frees the connection, and the server is not blamed', () =>
  withPath(answerAlive, async (path, server) => {
    const guest = openGuest(path.guestAddress, chunkedHead('POST', '/desk/bookings') + chunk('lorry'))
    await waitUntil('the booking is at the server', () => server.requests.join('').includes('lorry'))
    guest.socket.destroy()
    await waitUntil('the connection to the server is closed', () => countBusy(path) === 0)
    await checkServes(path, 'alive')
  }))

test('a guest that leaves while it waits for admission gives up its place, and is not sent', () =>
  withPath(answerAlive, async (path, server) => {
    const { admission } = readService(path)
    const guests = Array.from({ length: 12 }, (_, position) => openGuest(path.guestAddress, post('/desk/bookings', `lorry ${position}.`)))
    await waitUntil('requests wait', () => admission.queue.length > 0 && admission.queue.length + admission.inFlight === 12)
    const running = admission.inFlight
    await waitUntil('the others are at the server', () => server.requests.filter(text => text.startsWith('POST')).length === running)
    // Those that wait leave first; else the places of the others would become free for them.
    const [runningGuests, waitingGuests] = [true, false].map(isSent => guests.filter((_, position) => server.requests.join('').includes(`lorry ${position}.`) === isSent))
    waitingGuests?.forEach(({ socket }) => socket.destroy())
    await waitUntil('nobody waits', () => admission.queue.length === 0)
    runningGuests?.forEach(({ socket }) => socket.destroy())
    await waitUntil('nothing runs', () => admission.inFlight === 0)
    await checkServes(path, 'alive')
    assert.equal(server.requests.filter(text => text.startsWith('POST')).length, running)
  }))

test('a booking without a key whose guest has left frees its connection at the deadline when the server never answers', () =>
  withPath(answerAlive, async (path, server) => {
    const guest = openGuest(path.guestAddress, post('/desk/bookings', 'lorry', 'siskinbeam-deadline: 300\r\n'))
    await waitUntil('the booking is at the server', () => server.requests.join('').includes('lorry'))
    guest.socket.destroy()
    await waitUntil('the connection to the server is closed', () => countBusy(path) === 0)
    await checkServes(path, 'alive')
  }))

test('a server is not blamed for guests that leave while an answer is relayed, or before it comes', async () => {
  const late: Socket[] = []
  await withPath((socket, text) => {
    if (text.includes('/alive') || text.includes('/.load')) socket.write(answerText('alive'))
    else if (text.startsWith('POST')) late.push(socket)
    else socket.write('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nstart')
  }, async path => {
    const service = readService(path)
    for (let position = 0; position < 12; position += 1) {
      const guest = openGuest(path.guestAddress, get('/desk/limits'))
      await waitUntil('the answer has begun', () => guest.received().endsWith('start'))
      guest.socket.destroy()
      const booking = openGuest(path.guestAddress, post('/desk/bookings', 'lorry'))
      await waitUntil('the booking is at the server', () => late.length > position)
      booking.socket.destroy()
      await waitUntil('the host knows that the guest left', () => service.admission.inFlight === 0)
      late[position]?.write(answerText('booked'))
      await waitUntil('the connections are free', () => countBusy(path) === 0)
    }
    assert.equal(service.health.servers.get('desk-1')?.consecutiveFailures, 0)
    assert.equal(path.host.metrics.snapshot()['answers_truncated_total'] ?? 0, 0)
    await checkServes(path, 'alive')
  })
})

test('a guest that leaves while a pipelined answer waits for an earlier one frees both connections to the server', () =>
  withPath((socket, text) => {
    // Chunks that come in one piece are parsed whole before the first is relayed.
    if (text.includes('/large')) socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${chunk('x'.repeat(9_000)).repeat(5)}0\r\n\r\n`)
    else answerAlive(socket, text)
  }, async (path, server) => {
    const guest = openGuest(path.guestAddress, get('/desk/never') + get('/desk/large'))
    await waitUntil('both requests are at the server', () => ['/never', '/large'].every(part => server.requests.join('').includes(part)))
    await pause(50)
    assert.equal(countBusy(path), 2)
    guest.socket.destroy()
    await waitUntil('the connections to the server are free', () => countBusy(path) === 0)
    await waitUntil('no exchange is left', () => readService(path).admission.inFlight === 0)
    await checkServes(path, 'alive')
  }, service => { service.routes[0].deadlineMilliseconds = 60_000 }))

test('a claim ends when its guest has left and the server breaks or never answers', async () => {
  const table = await serveTableService({ seed: 5 })
  const ends: Array<(socket: Socket) => void> = [socket => socket.destroy(), () => {}, socket => socket.write('nonsense\r\n\r\n')]
  await Promise.all(ends.map(async (end, position) => {
    const sockets: Socket[] = []
    await withPath((socket, text) => { if (text.startsWith('POST')) sockets.push(socket) }, async path => {
      const guest = openGuest(path.guestAddress, post('/desk/bookings', 'lorry', `idempotency-key: key-${position}\r\nsiskinbeam-deadline: 500\r\n`))
      await waitUntil('the booking is at the server', () => sockets.length === 1)
      guest.socket.destroy()
      await waitUntil('the host knows that the guest left', () => readService(path).admission.inFlight === 0)
      end(sockets[0] as Socket)
      await waitUntil('the claim has ended', () => path.host.claims.describe()['open'] === 0)
    }, undefined, table.address)
  }))
  await table.close()
})

test('a guest that leaves before the table service answers is not sent, and its claim ends', async () => {
  const table = await serveTableService({ seed: 6 })
  table.setFaults({ slowMilliseconds: 100 })
  await withPath(() => {}, async (path, server) => {
    const guest = openGuest(path.guestAddress, post('/desk/bookings', 'lorry', 'idempotency-key: early\r\n'))
    await waitUntil('the claim has begun', () => path.host.claims.describe()['open'] === 1)
    guest.socket.destroy()
    await waitUntil('the claim has ended', () => path.host.claims.describe()['open'] === 0)
    assert.equal(server.requests.filter(text => text.startsWith('POST')).length, 0)
  }, undefined, table.address)
  await table.close()
})

test('a slow reader holds a bounded part of a large answer in the host', () => {
  let written = 0
  return withPath((socket, text) => {
    if (text.includes('/alive')) return socket.write(answerText('alive'))
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${100 * largeBody.length}\r\n\r\n`)
    const send = (left: number): void => {
      if (left === 0 || socket.destroyed) return
      socket.write(largeBody, () => {
        written += largeBody.length
        send(left - 1)
      })
    }
    send(100)
  }, async path => {
    const guest = openGuest(path.guestAddress, get('/desk/limits', closeHeader))
    await waitUntil('the answer has begun', () => guest.received().length > 0)
    guest.socket.pause()
    let before = -1
    await waitUntil('the server is held up', () => {
      const isStill = written === before
      before = written
      return isStill && written > 0
    })
    await pause(100)
    // The kernel's buffers of both connections hold some megabytes; the host adds only its own.
    assert.ok(written < 50 * largeBody.length, `${written} bytes left the server`)
    assert.equal(path.host.activeBundle()?.services.size, 1)
    guest.socket.resume()
    await waitUntil('the answer is whole', guest.closed)
    assert.equal(guest.received().split('\r\n\r\n')[1]?.length, 100 * largeBody.length)
    await checkServes(path, 'alive')
  }, service => { service.routes[0].deadlineMilliseconds = 20_000 })
})

test('a body that does not arrive by the deadline is accounted for, and its request is not sent', () =>
  withPath(answerAlive, async (path, server) => {
    const { received } = await exchangeRaw(path.guestAddress, 'POST /desk/bookings HTTP/1.1\r\nhost: x\r\nsiskinbeam-deadline: 50\r\ncontent-length: 9\r\n\r\nlorry', 2_000)
    assert.equal(readCode(received), ResultCode.DeadlineExceededBeforeSend)
    assert.equal(readOutcome(received), 'not-run')
    assert.equal(server.requests.length, 0)
  }))

test('answers of the host itself carry the request id of the guest, or a new one', () =>
  withPath(answerAlive, async path => {
    const answers = await Promise.all(['', 'siskinbeam-request-id: mine\r\n'].map(header => exchangeRaw(path.guestAddress, get('/.siskinbeam/addresses', header))))
    assert.match(answers[0]?.received ?? '', /siskinbeam-request-id: [0-9a-f-]{36}\r\n/)
    assert.match(answers[1]?.received ?? '', /siskinbeam-request-id: mine\r\n/)
  }))

test('requests that Node would refuse without an account get one', () =>
  withPath(answerAlive, async path => {
    const texts = ['GET /desk/limits HTTP/1.1\r\n\r\n', get('/desk/limits', 'expect: a-miracle\r\n')]
    const answers = await Promise.all(texts.map(text => exchangeRaw(path.guestAddress, text)))
    answers.forEach(({ received }) => {
      assert.equal(readOutcome(received), 'not-run', received)
      assert.match(received, /siskinbeam-request-id/)
    })
  }))

test('a guest that waits for 100 Continue is told to go on, and its body arrives', () =>
  withPath(socket => socket.write(answerText('ok')), async (path, server) => {
    const guest = openGuest(path.guestAddress, 'POST /desk/upload HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\n')
    await waitUntil('the guest may go on', () => guest.received().startsWith('HTTP/1.1 100'))
    guest.socket.write('lorry')
    await waitUntil('the answer', () => guest.received().endsWith('ok'))
    assert.ok(server.requests.join('').endsWith('lorry'))
    guest.socket.destroy()
  }))

test('a thousand idle and slow guests don\'t keep others from being served', () =>
  withPath(answerAlive, async path => {
    const guests = Array.from({ length: 1_000 }, (_, position) => openGuest(path.guestAddress, position % 2 === 0 ? '' : 'GET /desk/li'))
    await waitUntil('all are connected', () => guests.every(({ socket }) => !socket.connecting))
    await checkServes(path, 'alive')
    assert.ok(guests.every(guest => !guest.closed()))
    guests.forEach(({ socket }) => socket.destroy())
  }))

test('pipelined requests are answered in their order', () =>
  withPath((socket, text) => { setTimeout(() => socket.write(answerText(/GET (\S+)/.exec(text)?.[1] ?? '')), text.includes('/slow') ? 60 : 0) }, async path => {
    const paths = ['/desk/slow', '/desk/1', '/desk/2']
    const { received } = await exchangeRaw(path.guestAddress, paths.map(asked => get(asked)).join(''))
    assert.deepEqual(received.split('HTTP/1.1 200 OK').slice(1).map(answer => answer.split('\r\n\r\n')[1]), paths)
  }))

test('an answer counts as in flight until the guest has taken it, so that a host that stops does not cut it off', () => {
  // Below the size at which Node asks the host to wait, so that the exchange goes on to its end.
  const answer = answerText('x'.repeat(10_000))
  return withPath((socket, text) => { socket.write(text.includes('/alive') ? answerText('alive') : answer) }, async path => {
    const readInFlight = (): number => path.host.metrics.snapshot()['in_flight'] ?? 0
    const guest = openGuest(path.guestAddress)
    guest.socket.pause()
    let asked = 0
    let polls = 0
    // The kernel takes some megabytes before an answer stays in the host.
    while (polls < 40 && asked < 2_000) {
      asked += 1
      guest.socket.write(get('/desk/limits'))
      await waitUntil('the request is answered', () => path.host.metrics.snapshot()['answers_total'] === asked)
      for (polls = 0; polls < 40 && readInFlight() > 0; polls += 1) await pause(1)
    }
    assert.ok(readInFlight() > 0, `none of ${asked} answers waits`)
    guest.socket.resume()
    await waitUntil('the guest has taken all', () => readInFlight() === 0)
    await waitUntil('all answers', () => guest.received().split('HTTP/1.1 200').length - 1 === asked && guest.received().endsWith('xxx'))
    await checkServes(path, 'alive')
    guest.socket.destroy()
  })
})
