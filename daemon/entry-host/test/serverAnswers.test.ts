// Guards against answers of servers that reach a guest partly, changed, or in the place of another, and
// against answers that end the process. A guest gets the whole right answer, an account, or a broken
// connection.
import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import fc from 'fast-check'
import { answerText, checkServes, closeHeader, get, openGuest, pause, post, readCode, waitUntil } from './support/rawGuest.js'
import { exchangeRaw, makeBundle, startPath, startScriptedServer, type StartedPath } from './support/startPath.js'

const seed = 20_261
const body = 'The limit of the north crossing is 44 tonnes.'
const stated = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\nx-kept: 1\r\n\r\n${body}`
const chunked = `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-kept: 1\r\n\r\n${(body.match(/.{1,15}/g) ?? []).map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join('')}0\r\n\r\n`
const untilClose = `HTTP/1.1 200 OK\r\nx-kept: 1\r\n\r\n${body}`

type Answer = (socket: Socket) => void
/** A host before a server that answers as told last, and right when asked for /alive. */
async function withAnswers (act: (path: StartedPath, setAnswer: (answer: Answer) => void) => Promise<void>): Promise<void> {
  let answer: Answer = () => {}
  const server = await startScriptedServer((socket, text) => /\/alive|\/\.load/.test(text) ? socket.write(answerText('alive')) : answer(socket))
  const path = await startPath(makeBundle([server.address], service => { service.hedging = { enabled: false } }))
  // Without retries, each request meets the answer of its test once.
  const service = path.host.activeBundle()?.services.get('desk')
  try {
    await act(path, next => {
      if (service !== undefined) service.retryBudget.tokens = 0
      answer = next
    })
    // The reset of a test may meet this request on a connection that was kept, so it may be sent again.
    if (service !== undefined) service.retryBudget.tokens = 10
    await checkServes(path, 'alive')
  } finally {
    await Promise.all([path.stop(), server.stop()])
  }
}

/** What a guest may conclude from the bytes that it got. */
enum Reading { Whole = 'whole', Account = 'account', Broken = 'broken' }

interface ParsedAnswer { reading: Reading, body: string }

// A strict reader of its own, so that a fault of Node's parser can't hide one of the host.
function readAnswer (received: string, method = 'GET'): ParsedAnswer {
  const end = received.indexOf('\r\n\r\n')
  if (end < 0) return { reading: Reading.Broken, body: '' }
  const head = received.slice(0, end).toLowerCase()
  const rest = received.slice(end + 4)
  if (head.includes('siskinbeam-account:')) return { reading: Reading.Account, body: rest }
  if (method === 'HEAD') return { reading: Reading.Whole, body: rest }
  const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1]
  if (length !== undefined) return { reading: rest.length === Number(length) ? Reading.Whole : Reading.Broken, body: rest.slice(0, Number(length)) }
  if (!head.includes('transfer-encoding: chunked')) return { reading: Reading.Whole, body: rest }
  let left = rest
  let whole = ''
  while (true) {
    const size = /^([0-9a-f]+)\r\n/.exec(left)
    if (size === null) return { reading: Reading.Broken, body: whole }
    const count = parseInt(size[1] as string, 16)
    left = left.slice(size[0].length)
    if (count === 0) return { reading: left === '\r\n' ? Reading.Whole : Reading.Broken, body: whole }
    whole += left.slice(0, count)
    if (left.slice(count, count + 2) !== '\r\n') return { reading: Reading.Broken, body: whole }
    left = left.slice(count + 2)
  }
}

async function ask (path: StartedPath, text: string): Promise<ParsedAnswer> {
  const guest = openGuest(path.guestAddress, text)
  await waitUntil('the guest\'s connection is closed', guest.closed)
  return readAnswer(guest.received(), text.split(' ', 1)[0])
}

const getOnce = get('/desk/limits', `siskinbeam-deadline: 400\r\n${closeHeader}`)
const inBatches = async <Item>(items: Item[], act: (item: Item) => Promise<void>): Promise<void> => {
  for (const item of items) await act(item)
}

const endings: Array<[string, Answer]> = [
  ['closed', socket => { socket.end() }],
  ['reset', socket => { setTimeout(() => socket.resetAndDestroy(), 3) }],
  // The reset arrives together with the last bytes.
  ['reset at once', socket => { socket.resetAndDestroy() }]
]
const framings: Array<[string, string]> = [['stated', stated], ['chunked', chunked], ['until close', untilClose]]
framings.forEach(([framing, text]) => endings.forEach(([ending, end]) => test(`an answer (${framing}) cut at each position and ${ending} is never partly whole`, () =>
  withAnswers(async (path, setAnswer) => {
    await inBatches(Array.from({ length: text.length + 1 }, (_, position) => position), async position => {
      setAnswer(socket => {
        if (position > 0) socket.write(text.slice(0, position), 'latin1', () => end(socket))
        else end(socket)
      })
      const { reading, body: got } = await ask(path, getOnce)
      // Without framing, an orderly close is the end of the answer, wherever it comes.
      const isAnEnd = framing === 'until close' && ending === 'closed' && position >= text.indexOf('\r\n\r\n') + 4
      if (reading === Reading.Whole && !isAnEnd) assert.equal(got, body, `cut at ${position}`)
      if (framing === 'until close' && ending !== 'closed') assert.notEqual(reading, Reading.Whole, `reset at ${position}`)
    })
  }))))

test('random bytes in the place of an answer never end the host or reach a guest as a whole answer of HTTP', () =>
  withAnswers(async (path, setAnswer) => {
    await fc.assert(fc.asyncProperty(fc.uint8Array({ maxLength: 300 }), async bytes => {
      setAnswer(socket => { socket.end(Buffer.from(bytes)) })
      assert.notEqual((await ask(path, getOnce)).reading, Reading.Whole)
    }), { seed, numRuns: 150 })
  }))

const absurd = ['\u0001', '\u0000', '\u007f', '\r', '\n', ':', ' ', '\t', '\u00ff', '0', '9', 'chunked', 'content-length: 3\r\n', 'transfer-encoding: gzip\r\n', 'connection: x-kept, content-length\r\n',
  'HTTP/1.1 100 Continue\r\n\r\n', 'HTTP/1.1 103 Early\r\nlink: a\r\n\r\n', 'HTTP/1.1 101 Switching\r\n\r\n', 'not-started: true\r\n', 'x: ' + 'y'.repeat(9_000) + '\r\n', 'x: ' + 'y'.repeat(20_000) + '\r\n']
test('mutated answers reach a guest whole with the right body, as an account, or not at all', () =>
  withAnswers(async (path, setAnswer) => {
    const edit = fc.record({ at: fc.nat(60), cut: fc.nat(3), insert: fc.constantFrom('', ...absurd) })
    const split = fc.nat(80)
    await fc.assert(fc.asyncProperty(fc.constantFrom(stated, chunked), fc.array(edit, { minLength: 1, maxLength: 3 }), split, async (text, edits, position) => {
      const headEnd = text.indexOf('\r\n\r\n')
      const head = edits.reduce((whole, { at, cut, insert }) => whole.slice(0, at) + insert + whole.slice(at + cut), text.slice(0, headEnd))
      const changed = head + text.slice(headEnd)
      setAnswer(socket => socket.write(changed.slice(0, position), 'latin1', () => setImmediate(() => socket.end(changed.slice(position), 'latin1'))))
      const { reading, body: got } = await ask(path, getOnce)
      if (reading !== Reading.Whole) return
      // What a mutation makes of the answer is right if it is what the server's bytes say.
      const said = readAnswer(changed.replace(/^(HTTP\/1.1 1\d\d [^\r]*\r\n([^\r]+\r\n)*\r\n)+/, ''))
      assert.ok(got === body || got === said.body, JSON.stringify({ changed: changed.slice(0, 400), got }))
    }), { seed, numRuns: 300 })
  }))

const statusLines: Array<[string, string]> = [
  ['a control character in the reason', 'HTTP/1.1 200 O\u0001K'], ['status 000', 'HTTP/1.1 000 OK'], ['status 099', 'HTTP/1.1 099 OK'], ['status 999', 'HTTP/1.1 999 OK'],
  ['another version', 'HTTP/3.0 200 OK'], ['an upgrade', 'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x']
]
statusLines.forEach(([title, line]) => test(`an answer with ${title} doesn't end the host`, () =>
  withAnswers(async (path, setAnswer) => {
    setAnswer(socket => { socket.end(stated.replace('HTTP/1.1 200 OK', line), 'latin1') })
    const { reading, body: got } = await ask(path, getOnce)
    if (reading === Reading.Whole) assert.equal(got, body)
  })))

test('bodies that are longer or shorter than stated, second answers and early 1xx answers don\'t mix with the next answer of the connection', () =>
  withAnswers(async (path, setAnswer) => {
    const scripts = [stated + 'extra', stated + stated.replaceAll('limit', 'LIMIT'), chunked + chunked.replaceAll('limit', 'LIMIT'), `HTTP/1.1 100 Continue\r\n\r\n${stated}`, `HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n${chunked}`,
      stated.replace(String(body.length), '0'), `HTTP/1.1 204 None\r\n\r\n${body}`, `HTTP/1.1 304 Same\r\ncontent-length: ${body.length}\r\n\r\n`]
    await inBatches(scripts, async script => {
      setAnswer(socket => { socket.write(script) })
      const next = 'GET /desk/alive HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
      const { received } = await exchangeRaw(path.guestAddress, get('/desk/limits', 'siskinbeam-deadline: 300\r\n') + next, 600)
      assert.doesNotMatch(received, /LIMIT/)
      const answers = received.split('HTTP/1.1 ').slice(1)
      if (answers.length === 2) assert.ok(answers[1]?.endsWith('alive') === true || readCode(answers[1] ?? '') > 0, received)
      await pause(5)
    })
  }))

test('an answer that begins before the request is written whole is not taken for its answer', () =>
  withAnswers(async (path, setAnswer) => {
    setAnswer(socket => { socket.write(stated) })
    const { reading, body: got } = await ask(path, post('/desk/upload', 'u'.repeat(60_000), closeHeader))
    if (reading === Reading.Whole) assert.equal(got, body)
  }))

test('answers to HEAD have no body at the guest, whatever the server sends', () =>
  withAnswers(async (path, setAnswer) => {
    await inBatches([stated, chunked, stated.slice(0, -body.length), chunked.slice(0, chunked.indexOf('\r\n\r\n') + 4)], async text => {
      setAnswer(socket => { socket.write(text) })
      const { reading, body: got } = await ask(path, getOnce.replace('GET', 'HEAD'))
      assert.ok(reading === Reading.Account || got === '', got)
    })
  }))

test('a connection on which a server sent bytes unasked is closed and not used again', () => {
  const sockets: Socket[] = []
  return withAnswers(async (path, setAnswer) => {
    setAnswer(socket => {
      sockets.push(socket)
      socket.write(stated)
      // Later than the answer, when the connection is idle.
      if (sockets.length === 1) setTimeout(() => socket.write('H'), 30)
    })
    await ask(path, getOnce)
    await waitUntil('the connection is closed', () => sockets[0]?.destroyed === true)
    assert.equal((await ask(path, getOnce)).body, body)
    assert.notEqual(sockets[1], sockets[0])
  })
})

test('an idempotent request that meets the reset of a kept connection is sent again on a new one, also to the only server', async () => {
  const requests = new Map<Socket, number>()
  const server = await startScriptedServer((socket, text) => {
    if (text.includes('/.load')) return socket.write(answerText('load'))
    const count = (requests.get(socket) ?? 0) + 1
    requests.set(socket, count)
    if (count === 1) socket.write(answerText('alive'))
    else socket.resetAndDestroy()
  })
  const path = await startPath(makeBundle([server.address], service => { service.hedging = { enabled: false } }))
  try {
    await inBatches([1, 2, 3], () => checkServes(path, 'alive'))
    assert.ok([...requests.values()].some(count => count > 1), 'no kept connection was used')
  } finally {
    await Promise.all([path.stop(), server.stop()])
  }
})
