// Guards against requests that are cut off, refused or sent twice because the configuration, the settings or the list of servers changes
// while they are in progress.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { describeConfiguration, describeEntry, pause, respondNormally, sendRequest, startPlatform, startServer, waitUntil, type GuestResponse, type ScriptedServer, type TestPlatform } from './support/startPlatform.js'

const loadMilliseconds = 1_500
const requestIntervalMilliseconds = 15
const workMilliseconds = 120

/** Sends requests while the change is made, and checks that each was served and ran once, or was refused and did not run. */
async function assertUndisturbed (change: (platform: TestPlatform, servers: ScriptedServer[]) => Promise<void>): Promise<void> {
  const servers = await Promise.all(Array.from({ length: 6 }, () => startServer((request, response) => { setTimeout(respondNormally, workMilliseconds, request, response) })))
  const platform = await startPlatform(servers, 2)
  try {
    const sent: Array<Promise<GuestResponse>> = []
    const end = performance.now() + loadMilliseconds
    const changed = pause(loadMilliseconds / 4).then(() => change(platform, servers))
    while (performance.now() < end) {
      const index = sent.length
      sent.push(sendRequest(platform.settings[index % 2]?.guestAddress ?? '', `/bookings/${index}`, { method: 'POST', id: `r-${index}` }))
      await pause(requestIntervalMilliseconds)
    }
    await changed
    const statuses = (await Promise.all(sent)).map(({ status }) => status)
    // A machine under load may delay the processes until the estimates say that a request is too late.
    assert.deepEqual(statuses.filter(status => status !== 200 && status !== 503), [])
    const served = statuses.flatMap((status, index) => status === 200 ? [`/bookings/${index}`] : [])
    assert.deepEqual(servers.flatMap(({ received }) => received.map(({ url }) => url)).sort(), served.sort())
    assert.ok(served.length > 0)
  } finally {
    await platform.stop()
  }
}

test('a series of configurations cuts no request off', () => assertUndisturbed(async platform => {
  for (let version = 2; version < 8; version += 1) {
    platform.store.put('op', 'config', describeConfiguration(version, { timeoutS: 1.5 + version / 10 }))
    await pause(100)
  }
  await waitUntil('the last one is active', () => platform.hosts.every(host => host.dump().includes('"configuration":7')))
}))

test('changed settings cut no request off', () => assertUndisturbed(async platform => {
  for (let change = 0; change < 5; change += 1) {
    platform.hosts.forEach((host, index) => host.applySettings({ ...platform.settings[index] as TestPlatform['settings'][number], seedPeers: [`127.0.0.1:${change + 1}`] }))
    await pause(100)
  }
}))

test('servers that drain and are replaced, and a store that is away meanwhile, cut no request off', () => assertUndisturbed(async (platform, servers) => {
  const [first, second] = servers as [ScriptedServer, ScriptedServer]
  platform.store.put('servers', first.id, describeEntry(first, { state: 'draining', sequence: 2 }))
  await pause(150)
  platform.store.faults.refuseStatus = 503
  await pause(300)
  platform.store.faults.refuseStatus = undefined
  platform.store.put('servers', second.id, describeEntry(second, { state: 'draining', sequence: 2 }))
  await pause(150)
  platform.store.remove('servers', first.id)
}))
