// Guards against requests and health checks that reach a server after it has said in a response that it leaves, or that it wants nothing
// from this host for a time.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLeavingReports } from '../src/servers/leavingReports.js'
import { describeEntry, pause, respondNormally, sendRequest, startPlatform, startServer, waitUntil, type GuestResponse, type ScriptedServer, type ServerScript, type TestPlatform } from './support/startPlatform.js'

const requestIntervalMilliseconds = 10
/** Time for requests that were on their way when the server answered. */
const settlingMilliseconds = 100

async function withServers (count: number, run: (platform: TestPlatform, servers: ScriptedServer[]) => Promise<void>, hosts = 1): Promise<void> {
  const servers = await Promise.all(Array.from({ length: count }, () => startServer()))
  const platform = await startPlatform(servers, hosts)
  try {
    await run(platform, servers)
  } finally {
    await platform.stop()
  }
}

async function sendRequests (platform: TestPlatform, milliseconds: number, path = '/reads/7', method = 'GET', host = 0): Promise<GuestResponse[]> {
  const responses: Array<Promise<GuestResponse>> = []
  const end = performance.now() + milliseconds
  while (performance.now() < end) {
    responses.push(sendRequest(platform.settings[host]?.guestAddress ?? '', path, { method, id: `r-${responses.length}` }))
    await pause(requestIntervalMilliseconds)
  }
  return Promise.all(responses)
}

const codeOf = ({ body }: GuestResponse): number | undefined => (JSON.parse(body) as { code?: number }).code
const turnAway = (retryAfter: string): ServerScript => (request, response) => {
  response.writeHead(503, { 'x-request-id': String(request.headers['x-request-id']), 'x-not-executed': '1', 'retry-after': retryAfter, 'content-length': 0 }).end()
}

test('a server that says that it leaves gets neither requests nor health checks, though its entry still says ready, until another start', () => withServers(2, async (platform, [leaving]) => {
  assert.ok(leaving !== undefined)
  leaving.headers = { 'server-leaving': '1' }
  await waitUntil('the server has answered', async () => {
    await sendRequests(platform, 50)
    return leaving.contacts.length > 0
  })
  await pause(settlingMilliseconds)
  const since = performance.now()
  platform.store.put('servers', leaving.id, describeEntry(leaving, { sequence: 2, slots: 4 }))
  await waitUntil('the changed entry is known', () => platform.hosts[0]?.dump().includes('"slots":4') === true)
  platform.store.remove('servers', leaving.id)
  await waitUntil('the entry is removed', () => !platform.hosts[0]?.dump().includes('"slots":4'))
  platform.store.put('servers', leaving.id, describeEntry(leaving, { sequence: 3, slots: 5 }))
  await waitUntil('the entry is back', () => platform.hosts[0]?.dump().includes('"slots":5') === true)
  const responses = await sendRequests(platform, 1_000)
  assert.ok(responses.every(({ status }) => status === 200))
  assert.equal(leaving.contacts.filter(at => at > since).length, 0)
  leaving.headers = {}
  platform.store.put('servers', leaving.id, describeEntry(leaving, { born: 2_000, sequence: 1 }))
  await waitUntil('the new start gets requests', async () => {
    await sendRequests(platform, 100)
    return leaving.contacts.some(at => at > since)
  })
}))

test('if all servers leave, requests are refused at once as not run', () => withServers(2, async (platform, servers) => {
  servers.forEach(server => { server.headers = { 'server-leaving': '1' } })
  await waitUntil('both servers have said that they leave', async () => (await sendRequests(platform, 50)).some(({ status }) => status === 503))
  const response = await sendRequest(platform.settings[0]?.guestAddress ?? '', '/bookings/7', { method: 'POST' })
  assert.deepEqual([response.status, codeOf(response)], [503, 206])
}))

;['GET', 'POST'].forEach(method => {
  test(`a server that wants a pause is not contacted during it, its load is taken by others, and it counts as healthy (${method})`, () => withServers(2, async (platform, [pausing]) => {
    assert.ok(pausing !== undefined)
    let answeredAt = Infinity
    pausing.script = (request, response) => {
      answeredAt = Math.min(answeredAt, performance.now())
      turnAway('1.5')(request, response)
    }
    const [first] = await Promise.all([sendRequests(platform, 1_200, method === 'GET' ? '/reads/7' : '/bookings/7', method)])
    assert.ok(answeredAt < Infinity, 'the server was contacted')
    assert.ok(first.every(({ status }) => status === 200), first.map(({ status }) => status).join())
    const dump = JSON.parse(platform.hosts[0]?.dump() ?? '') as { failingServers: unknown[], noticedServers: unknown[] }
    assert.deepEqual([dump.failingServers.length, dump.noticedServers.length], [0, 1])
    pausing.script = respondNormally
    await waitUntil('the server is used again', async () => {
      await sendRequests(platform, 50)
      return pausing.received.length > 1
    })
    const during = pausing.contacts.filter(at => at > answeredAt + settlingMilliseconds && at < answeredAt + 1_500)
    assert.equal(during.length, 0, `${during.length} contacts during the pause`)
  }))
})

test('if all servers pause, requests are refused at once as not run, with the time at which the first pause ends', () => withServers(2, async (platform, servers) => {
  servers.forEach(server => { server.script = turnAway('3') })
  await waitUntil('all servers pause', async () => (await sendRequests(platform, 50)).some(response => response.status === 503 && codeOf(response) === 211))
  const response = await sendRequest(platform.settings[0]?.guestAddress ?? '', '/bookings/7', { method: 'POST' })
  assert.deepEqual([response.status, codeOf(response)], [503, 211])
  assert.ok(Number(response.headers['retry-after']) > 1 && Number(response.headers['retry-after']) < 4, response.headers['retry-after'])
}))

test('notices without a defined meaning have no effect, and are logged once with their code', () => withServers(2, async (platform, servers) => {
  const [dated, odd] = servers as [ScriptedServer, ScriptedServer]
  dated.script = (request, response) => turnAway(['-1', 'Wed, 21 Oct 2026 07:28:00 GMT', 'Infinity', '1e9', 'soon'][dated.received.length % 5] ?? '')(request, response)
  odd.headers = { 'server-leaving': '0' }
  await sendRequests(platform, 500)
  const contacts = servers.map(server => server.contacts.length)
  await sendRequests(platform, 200)
  assert.ok(servers.every((server, index) => server.contacts.length > (contacts[index] ?? 0)))
  assert.equal(platform.logs.filter(line => line.includes('event="server notice ignored"') && line.includes('code=407')).length, 2)
}))

// The other hosts went on to use the server until each had an answer of its own.
test('the hosts of a data centre tell each other that a server leaves', () => withServers(2, async (platform, [leaving]) => {
  assert.ok(leaving !== undefined)
  leaving.headers = { 'server-leaving': '1' }
  // The last host is a follower, so that its word has to take both ways.
  await waitUntil('the server has answered a host', async () => {
    await sendRequests(platform, 20, '/reads/7', 'GET', 2)
    return leaving.contacts.length > 0
  })
  await waitUntil('all hosts know it', () => platform.hosts.every(host => host.dump().includes('"isLeaving":true')))
  await pause(settlingMilliseconds)
  const since = performance.now()
  const responses = (await Promise.all([0, 1, 2].map(host => sendRequests(platform, 500, '/reads/7', 'GET', host)))).flat()
  assert.ok(responses.every(({ status }) => status === 200))
  assert.equal(leaving.contacts.filter(at => at > since).length, 0)
  const host = await platform.startHost()
  await waitUntil('a host that starts later knows it', () => host.dump().includes('"isLeaving":true'))
}, 3))

test('a pause binds only the host that was told', () => withServers(2, async (platform, [pausing]) => {
  assert.ok(pausing !== undefined)
  pausing.script = turnAway('5')
  await waitUntil('the server has turned a host away', async () => {
    await sendRequests(platform, 20)
    return pausing.received.length > 0
  })
  await pause(500)
  const before = pausing.received.length
  pausing.script = respondNormally
  await waitUntil('another host uses the server', async () => {
    await sendRequests(platform, 50, '/reads/7', 'GET', 1)
    return pausing.received.length > before
  })
}, 2))

test('what a host says of servers that leave reaches a new source, and ends when the entry of the server is long gone', () => {
  let now = 0
  const registered = new Set(['a@1', 'b@1'])
  const reports = createLeavingReports({ isRegistered: server => registered.has(server), now: () => now })
  reports.add('a@1')
  reports.add('b@1')
  assert.deepEqual(reports.listUntold('first'), ['a@1', 'b@1'])
  reports.confirm('first', ['a@1'])
  assert.deepEqual([reports.listUntold('first'), reports.listUntold('second')], [['b@1'], ['a@1', 'b@1']])
  assert.deepEqual([reports.listSince(0), reports.listSince(1), reports.listSince(2)], [['a@1', 'b@1'], ['b@1'], []])
  registered.delete('a@1')
  now = 120_000
  reports.add('c@1')
  assert.deepEqual([reports.listSince(0), reports.revision()], [['b@1', 'c@1'], 3])
})
