// Guards against hosts whose view returns to an older version, shows a drain too late, loses servers after a store
// outage, or is no longer updated after the host that watches the store for them has ended.
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import { test } from 'node:test'
import { createMemberList } from '../src/dataCentre/memberList.js'
import { decodeViewUpdate, type MembersUpdate } from '../src/dataCentre/peerMessages.js'
import { serveRowStore } from '@siskinbeam/stand-in-platform/serveRowStore'
import { respondNormally, sendRequest, describeConfiguration, describeEntry, pause, startPlatform, startServer, waitUntil, type ScriptedServer, type TestPlatform } from './support/startPlatform.js'

async function withHosts (hostCount: number, serverCount: number, run: (platform: TestPlatform, servers: ScriptedServer[]) => Promise<void>): Promise<void> {
  const servers = await Promise.all(Array.from({ length: serverCount }, () => startServer(respondNormally)))
  const platform = await startPlatform(servers, hostCount)
  try {
    await run(platform, servers)
  } finally {
    await platform.stop()
  }
}

const activeVersions = (platform: TestPlatform): unknown[] => platform.hosts.map(host => (JSON.parse(host.dump()) as { configuration: number }).configuration)
const knownServers = (platform: TestPlatform): number[] => platform.hosts.map(host => (JSON.parse(host.dump()) as { servers: unknown[] }).servers.length)
const addressesOf = async (platform: TestPlatform, index: number): Promise<string[]> =>
  (JSON.parse((await sendRequest(platform.settings[index]?.addressListAddress ?? '', '/v1/resolve?name=x&region=r&zone=north')).body) as { addresses: string[] }).addresses

test('a configuration reaches all hosts through the one that watches the store', () => withHosts(4, 1, async platform => {
  platform.store.put('op', 'config', describeConfiguration(9))
  await waitUntil('version 9 is active', () => activeVersions(platform).every(version => version === 9))
}))

test('an older configuration never replaces a newer one', () => withHosts(2, 1, async platform => {
  platform.store.put('op', 'config', describeConfiguration(9))
  await waitUntil('version 9 is active', () => activeVersions(platform).every(version => version === 9))
  platform.store.put('op', 'config', describeConfiguration(8))
  platform.store.put('op', 'config', { version: 'invalid' })
  await pause(500)
  assert.deepEqual(activeVersions(platform), [9, 9])
}))

test('a configuration written while the change history is dropped is activated', () => withHosts(2, 1, async platform => {
  platform.store.faults.staleFeed = true
  platform.store.put('op', 'config', describeConfiguration(9))
  await pause(200)
  platform.store.faults.staleFeed = false
  platform.store.dropHistory()
  await waitUntil('version 9 is active', () => activeVersions(platform).every(version => version === 9))
}))

test('a change reaches the other hosts after the host that watched the store has ended', () => withHosts(3, 1, async platform => {
  await waitUntil('the hosts know each other', async () => (await addressesOf(platform, 2)).length === 3)
  platform.hosts.splice(0, 1)[0]?.stop()
  platform.settings.splice(0, 1)
  platform.store.put('op', 'config', describeConfiguration(9))
  await waitUntil('version 9 is active', () => activeVersions(platform).every(version => version === 9))
}))

test('a server that is draining or removed gets no further requests from any host', () => withHosts(3, 2, async (platform, servers) => {
  const [leaving] = servers as [ScriptedServer]
  platform.store.put('servers', leaving.id, describeEntry(leaving, { state: 'draining' }))
  await waitUntil('the drain has reached all hosts', () => platform.hosts.every(host => host.dump().includes('"draining"')))
  const responses = await Promise.all(platform.settings.flatMap((settings, host) => Array.from({ length: 5 }, (_, index) => sendRequest(settings.guestAddress, '/reads/7', { id: `r-${host}-${index}` }))))
  assert.ok(responses.every(({ status }) => status === 200))
  assert.equal(leaving.received.length, 0)
  platform.store.remove('servers', leaving.id)
  await waitUntil('the server is removed', () => knownServers(platform).every(count => count === 1))
}))

test('malformed entries are not treated as servers', () => withHosts(1, 1, async (platform, servers) => {
  const [server] = servers as [ScriptedServer]
  platform.store.put('servers', 'i-wrong-types', { service: 7, address: server.address })
  platform.store.putRaw('servers', 'i-not-json', 'AAAA')
  platform.store.put('servers', 'i-state', describeEntry(server, { state: 'unsupported' }))
  platform.store.put('servers', 'i-last', describeEntry(server))
  await waitUntil('the last entry is loaded', () => knownServers(platform)[0] === 2)
}))

test('servers whose entries expired during a store outage are kept until they had time to re-register', () => withHosts(2, 2, async (platform, servers) => {
  const [expired] = servers as [ScriptedServer]
  platform.store.faults.refuseStatus = 503
  await pause(4_500)
  platform.store.remove('servers', expired.id)
  platform.store.faults.refuseStatus = undefined
  await waitUntil('the store is available again', () => platform.logs.some(line => line.includes('store regained') && line.includes('table=servers')))
  await pause(300)
  assert.deepEqual(knownServers(platform), [2, 2])
  await waitUntil('the server is removed', () => knownServers(platform).every(count => count === 1))
}))

test('a host that starts during a store outage gets its view from a seed', () => withHosts(2, 1, async platform => {
  platform.store.faults.refuseStatus = 503
  await platform.startHost({ seedPeers: [platform.settings[0]?.peerAddress ?? ''] })
  await waitUntil('the new host serves', async () => (await sendRequest(platform.settings[2]?.guestAddress ?? '', '/reads/7')).status === 200)
}))

test('a host without a configuration refuses with a Retry-After header and is not ready', () => withHosts(1, 0, async platform => {
  platform.store.faults.refuseStatus = 503
  await platform.startHost({ seedPeers: [] })
  const settings = platform.settings[1]
  const response = await sendRequest(settings?.guestAddress ?? '', '/reads/7')
  assert.equal(response.status, 503)
  assert.ok(Number(response.headers['retry-after']) > 0)
  assert.equal((await sendRequest(settings?.readinessAddress ?? '', '/v1/ready')).status, 503)
}))

test('a host that shuts down is not ready, is not listed to guests, and still serves requests', () => withHosts(3, 1, async platform => {
  await waitUntil('the hosts know each other', async () => (await addressesOf(platform, 0)).length === 3)
  const leaving = platform.settings[2]
  const left = platform.hosts[2]?.shutDown()
  assert.equal((await sendRequest(leaving?.readinessAddress ?? '', '/v1/ready')).status, 503)
  await waitUntil('the host is no longer listed', async () => !(await addressesOf(platform, 0)).includes(leaving?.guestAddress ?? ''))
  const response = await sendRequest(leaving?.guestAddress ?? '', '/reads/7')
  assert.deepEqual([response.status, response.headers.connection], [200, 'close'])
  await left
}))

// Regression: a host went on watching the store if it learned of a higher-ranked host only from a call of that host.
test('a host that watches the store yields to one that ranks first, so that only one host watches', () => withHosts(0, 0, async platform => {
  await platform.startHost({ host: 'host-9' })
  await waitUntil('the first host has the configuration', () => platform.logs.some(line => line.includes('host=host-9') && line.includes('configuration in force')))
  await platform.startHost({ host: 'host-0' })
  const sources = (): string[] => platform.hosts.map(host => (JSON.parse(host.dump()) as { source: string }).source)
  await waitUntil('both follow host-0', () => sources().every(source => source === 'host-0'))
}))

test('no background process of a host fails at startup', () => withHosts(2, 1, async platform => {
  assert.deepEqual(platform.logs.filter(line => line.includes('process failed')), [])
}))

test('the store gets few calls while nothing changes, regardless of the number of hosts', () => withHosts(6, 1, async platform => {
  await pause(1_500)
  const before = [...platform.store.calls.values()].reduce((sum, count) => sum + count, 0)
  await pause(2_500)
  const calls = [...platform.store.calls.values()].reduce((sum, count) => sum + count, 0) - before
  assert.ok(calls <= 6, `${calls} calls in 2.5 s; expected one host to read two tables every two seconds`)
}))

// Regression: each host wrote a row and read three tables at startup, which was most of the calls to the store in a day at a large site.
test('starting hosts discover each other through the seeds and make no calls to the store of their own', () => withHosts(8, 1, async platform => {
  await waitUntil('all hosts know each other', async () => (await Promise.all([0, 3, 7].map(index => addressesOf(platform, index)))).every(addresses => addresses.length === 8))
  await pause(1_200)
  const callsOf = (path: string): number => platform.store.calls.get(path) ?? 0
  assert.equal(platform.store.read('entry-hosts', 'north').length, 1, 'rows of hosts')
  assert.ok(callsOf('/v1/rows-tx') <= 1, `${callsOf('/v1/rows-tx')} writes`)
  // The watching host reads the entry hosts and the three tables that it watches.
  assert.ok(callsOf('/v1/rows-get') <= 4, `${callsOf('/v1/rows-get')} reads of tables`)
}))

test('a host whose seeds are all unreachable discovers the others through the store', () => withHosts(2, 1, async platform => {
  await waitUntil('the watching host is registered', () => platform.store.read('entry-hosts', 'north').length === 1)
  await platform.startHost({ seedPeers: ['127.0.0.1:9', '127.0.0.1:10'] })
  await waitUntil('all hosts know the new one', async () => (await addressesOf(platform, 0)).length === 3)
  assert.equal((JSON.parse(platform.hosts[2]?.dump() ?? '') as { source: string }).source, 'host-1')
}))

test('a host of a data centre that has lost the store gets a new configuration from a seed in another one', () => withHosts(2, 1, async platform => {
  const refusing = await serveRowStore()
  refusing.faults.refuseStatus = 503
  await platform.startHost({ dataCentre: 'south', storeAddress: refusing.address })
  await waitUntil('the host serves', async () => (await sendRequest(platform.settings[2]?.guestAddress ?? '', '/reads/7')).status === 200)
  platform.store.put('op', 'config', describeConfiguration(9))
  await waitUntil('version 9 is active', () => activeVersions(platform).every(version => version === 9))
  await refusing.close()
}))

test('a follower whose member list differs from that of its source gets the list again', () => withHosts(3, 1, async platform => {
  await waitUntil('the hosts know each other', async () => (await addressesOf(platform, 2)).length === 3)
  const unknownHost = { name: 'host-0x', peerAddress: '127.0.0.1:9', guestAddress: '127.0.0.1:9', processorShare: 0.1, dataCentre: 'north', ready: true }
  const body = JSON.stringify({ member: unknownHost, configurationVersion: 0, sourceBoot: '', registryRevision: 0, registryDigest: '', membersRevision: 0, membersDigest: '', waitMilliseconds: 0, follows: false })
  await sendRequest(platform.settings[2]?.peerAddress ?? '', '/siskinbeam.datacentre.v1.DataCentre/Sync', { method: 'POST', body })
  await waitUntil('the list matches that of the source again', async () => (await addressesOf(platform, 2)).length === 3)
}))

// During an update of the hosts, those of the earlier program called their source without a pause.
test('a call of a host that does not know of crash suspects and of servers that leave is held until something else changes', () => withHosts(1, 2, async (platform, servers) => {
  const [host] = platform.hosts
  const address = platform.settings[0]?.peerAddress ?? ''
  const [leaving] = servers as [ScriptedServer]
  leaving.headers = { 'server-leaving': '1' }
  await waitUntil('the host has something to say', async () => {
    await sendRequest(platform.settings[0]?.guestAddress ?? '', '/reads/7')
    return host?.dump().includes('"isLeaving":true') === true
  })
  const member = { name: 'host-9', peerAddress: '127.0.0.1:9', guestAddress: '127.0.0.1:9', processorShare: 0.1, dataCentre: 'north', ready: true }
  const call = async (state: Record<string, unknown>, waitMilliseconds: number): Promise<Record<string, unknown>> => {
    const body = JSON.stringify({ member, configurationVersion: 1, sourceBoot: '', registryRevision: 0, registryDigest: '', membersRevision: 0, membersDigest: '', limitsRevision: 0, ...state, waitMilliseconds, follows: true })
    return JSON.parse((await sendRequest(address, '/siskinbeam.datacentre.v1.DataCentre/Sync', { method: 'POST', body })).body) as Record<string, unknown>
  }
  const { boot: sourceBoot, registryRevision, membersRevision, limitsRevision, news } = await call({}, 0)
  const members = createMemberList(() => member, () => performance.now())
  members.applyUpdate(decodeViewUpdate(String(news)).members as MembersUpdate)
  let replied = false
  const held = call({ sourceBoot, registryRevision, membersRevision, limitsRevision, membersDigest: members.digest() }, 60_000).then(() => { replied = true })
  await pause(500)
  assert.equal(replied, false)
  platform.store.put('op', 'config', describeConfiguration(9))
  await held
}))

// Regression: an error in the handler of a call was an unhandled rejection, which ended the process.
test('a malformed call of another host is rejected, and the host keeps serving', () => withHosts(1, 1, async platform => {
  const { peerAddress = '', guestAddress = '' } = platform.settings[0] ?? {}
  const calls = ['Sync', 'Introduce'].map(call => `/siskinbeam.datacentre.v1.DataCentre/${call}`)
  const bodies = ['', 'not json', 'null', '7', '[]', '{}', '{"member":null}', '{"member":{"name":7}}', '{"member":{"name":"x","dataCentre":"north","guestAddress":"a","peerAddress":{},"processorShare":1}}']
  const statuses = await Promise.all(calls.flatMap(call => bodies.map(async body => (await sendRequest(peerAddress, call, { method: 'POST', body })).status)))
  assert.deepEqual(statuses, statuses.map(() => 400))
  assert.equal((await sendRequest(guestAddress, '/reads/7')).status, 200)
}))

test('a request that runs on a server whose entry lapses is neither given up nor sent to another server', () => withHosts(1, 2, async (platform, servers) => {
  servers.forEach(server => { server.script = (request, response) => { setTimeout(() => respondNormally(request, response), 900) } })
  const response = sendRequest(platform.settings[0]?.guestAddress ?? '', '/bookings/7', { method: 'POST' })
  await waitUntil('the request runs', () => servers.some(({ received }) => received.length > 0))
  servers.forEach(({ id }) => platform.store.remove('servers', id))
  await waitUntil('the entries are gone', () => knownServers(platform).every(count => count === 0))
  assert.equal((await response).status, 200)
  assert.equal(servers.reduce((sum, { received }) => sum + received.length, 0), 1)
}))

// Pattern: all hosts lose power, and the seeds are the last to return. Each host waited for a seed, and its guests were refused.
test('a host whose seeds do not respond serves the guests that wait for it from the store', () => withHosts(1, 1, async platform => {
  const unresponsiveSeed = createServer(() => {})
  const port = await new Promise<number>(resolve => unresponsiveSeed.listen(0, '127.0.0.1', () => resolve((unresponsiveSeed.address() as { port: number }).port)))
  try {
    await platform.startHost({ seedPeers: [`127.0.0.1:${port}`] })
    assert.equal((await sendRequest(platform.settings[1]?.guestAddress ?? '', '/reads/7')).status, 200)
  } finally {
    unresponsiveSeed.close()
  }
}))

test('a host without guests does not call the store before its seeds have had time to answer', () => withHosts(1, 1, async platform => {
  const countReads = (): number => platform.store.calls.get('/v1/rows-get') ?? 0
  const before = countReads()
  await platform.startHost()
  await waitUntil('the host is ready', async () => (await sendRequest(platform.settings[1]?.readinessAddress ?? '', '/v1/ready')).status === 200)
  assert.equal(countReads(), before)
}))

test('failures that several hosts have seen at a server reach a host that has sent it nothing', () => withHosts(4, 1, async (platform, servers) => {
  const [failing] = servers as [ScriptedServer]
  failing.script = (request, response) => { response.socket?.destroy() }
  await waitUntil('the hosts know each other', async () => (await addressesOf(platform, 3)).length === 4)
  const report = async (): Promise<void> => {
    await Promise.all([1, 2].map(index => sendRequest(platform.settings[index]?.guestAddress ?? '', '/bookings/7', { method: 'POST' })))
  }
  const knownFailures = (): unknown[] => (JSON.parse(platform.hosts[3]?.dump() ?? '{}') as { failingServers: unknown[] }).failingServers
  await waitUntil('the failures are known', async () => {
    await report()
    return knownFailures().length === 1
  })
}))

test('a host that restarts after a server has left does not use it, although other hosts knew it', () => withHosts(2, 2, async (platform, servers) => {
  const [left, remaining] = servers as [ScriptedServer, ScriptedServer]
  platform.store.remove('servers', left.id)
  await waitUntil('the server is gone', () => knownServers(platform).every(count => count === 1))
  platform.hosts.splice(1, 1)[0]?.stop()
  platform.settings.splice(1, 1)
  await platform.startHost()
  const address = platform.settings[1]?.guestAddress ?? ''
  const responses = await Promise.all(Array.from({ length: 10 }, (_, index) => sendRequest(address, '/reads/7', { id: `r-${index}` })))
  assert.deepEqual(responses.map(({ status }) => status), responses.map(() => 200))
  assert.deepEqual([left.received.length, remaining.received.length], [0, 10])
}))

test('thousands of entries of another writer, before and after the start of hosts, neither end them nor keep them from following the list', () => withHosts(2, 1, async (platform, servers) => {
  const odd = [7, null, [], 'text', { service: undefined }, { address: '127.0.0.1:70000' }, { address: '127.0.0.1:0' }, { slots: 1e300 }, { slots: -1 }, { born: 1.5 }, { warmupLeftS: 1e308 }, { service: 'desk\0' }]
  const [server] = servers as [ScriptedServer]
  const writeAll = (): void => Array.from({ length: 3_000 }, (_, index) => index).forEach(index => {
    const change = odd[index % odd.length]
    platform.store.put('servers', `odd-${index}`, typeof change === 'object' && change !== null && !Array.isArray(change) ? describeEntry(server, change) : change)
  })
  writeAll()
  platform.store.put('servers', 'i\r\nx: y', describeEntry(server))
  platform.store.putRaw('servers', 'raw', Buffer.from(`{"service":${'['.repeat(20_000)}`).toString('base64'))
  platform.store.put('entry-hosts', 'odd', { name: 'odd', peerAddress: '127.0.0.1:99999', guestAddress: 7, processorShare: 1 }, 'north')
  const joined = await startServer(respondNormally)
  platform.store.put('servers', joined.id, describeEntry(joined))
  await platform.startHost({ seedPeers: ['127.0.0.1:9'] })
  await waitUntil('all hosts know the servers that are valid', () => knownServers(platform).every(count => count === 2))
  const responses = await Promise.all(platform.settings.flatMap((settings, host) => Array.from({ length: 10 }, (_, index) => sendRequest(settings.guestAddress, '/reads/7', { id: `r-${host}-${index}` }))))
  assert.ok(responses.every(({ status }) => status === 200))
  assert.ok(platform.logs.some(line => line.includes('event="server entry ignored"') && line.includes('code=406')))
  assert.ok(platform.logs.filter(line => line.includes('event="server entry ignored"')).length <= 20 * 3)
  assert.ok(!platform.logs.some(line => line.includes('event="process failed"') || line.includes('event="request path failed"')))
  joined.stop()
}))

test('jumps of the time of day change nothing', () => withHosts(2, 2, async (platform, servers) => {
  const [leaving] = servers as [ScriptedServer]
  const realNow = Date.now
  let calls = 0
  Date.now = () => {
    calls += 1
    return realNow() + (calls % 2 === 0 ? 3_600_000 : -3_600_000)
  }
  try {
    platform.store.put('op', 'config', describeConfiguration(9))
    platform.store.put('servers', leaving.id, describeEntry(leaving, { state: 'draining' }))
    await waitUntil('version 9 is active', () => activeVersions(platform).every(version => version === 9))
    await waitUntil('the drain has reached all hosts', () => platform.hosts.every(host => host.dump().includes('"draining"')))
    const responses = await Promise.all(platform.settings.flatMap(({ guestAddress }, host) => Array.from({ length: 10 }, (_, index) => sendRequest(guestAddress, '/reads/7', { id: `r-${host}-${index}` }))))
    assert.deepEqual(responses.map(({ status }) => status), responses.map(() => 200))
    assert.equal(leaving.received.length, 0)
    assert.deepEqual(await Promise.all(platform.settings.map(async (_, index) => (await addressesOf(platform, index)).length)), [2, 2])
  } finally {
    Date.now = realNow
  }
}))
