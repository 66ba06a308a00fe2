// Guards against requests that exceed what their route or the configuration allows: more servers than attempts, more time than the
// guest has left, bodies above the limit, and idle connections that are closed too early.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { describeConfiguration, respondNormally, sendRequest, waitUntil, withServers, type ServerScript } from './support/startPlatform.js'

const maximumAttempts = 2
/** The users allow a deadline that is longer than the guest's by this much. */
const deadlineToleranceMilliseconds = 500

const failing: ServerScript = (request, response) => {
  response.writeHead(500, { 'x-request-id': String(request.headers['x-request-id']), 'x-response-signature': 'signed', 'content-length': 0 }).end()
}
const cutOff: ServerScript = (_request, response) => { response.socket?.destroy() }
const notExecuted: ServerScript = (request, response) => {
  response.writeHead(503, { 'x-not-executed': '1', 'x-request-id': String(request.headers['x-request-id']), 'content-length': 0 }).end()
}

;[{ name: 'fail it', script: failing }, { name: 'cut it off', script: cutOff }, { name: 'turn it away', script: notExecuted }].forEach(({ name, script }) => {
  test(`a request goes to no more servers than its route has attempts, if all servers ${name}`, () => withServers([script, script, script, script], async (_platform, servers, address) => {
    await sendRequest(address, '/reads/7')
    assert.equal(servers.reduce((sum, { received }) => sum + received.length, 0), maximumAttempts)
  }))
})

test('a request that is sent again gets only the time that is left', () => {
  const received: Array<{ at: number, deadlineMilliseconds: number }> = []
  const turnAwayLate: ServerScript = (request, response) => {
    received.push({ at: performance.now(), deadlineMilliseconds: Number(request.headers['x-deadline-ms']) })
    setTimeout(notExecuted, 700, request, response)
  }
  return withServers([turnAwayLate, turnAwayLate], async (platform, _servers, address) => {
    platform.store.put('op', 'config', describeConfiguration(2, { timeoutS: 3 }))
    await waitUntil('the long timeout is active', () => platform.hosts[0]?.dump().includes('"configuration":2') === true)
    await sendRequest(address, '/bookings/7', { method: 'POST', headers: { 'x-deadline-ms': '2500' } })
    const [first, second] = received
    assert.ok(first !== undefined && second !== undefined, `${received.length} sends`)
    assert.ok(first.deadlineMilliseconds > 0 && first.deadlineMilliseconds <= 2_500)
    assert.ok(second.deadlineMilliseconds <= first.deadlineMilliseconds - (second.at - first.at) + deadlineToleranceMilliseconds, JSON.stringify(received))
  })
})

test('the limits on bodies and on idle connections follow the configuration', () => withServers([respondNormally], async (platform, _servers, address) => {
  const body = 'x'.repeat(5_000)
  const send = (): Promise<{ status: number, keepAlive: string }> => sendRequest(address, '/bookings/7', { method: 'POST', body, headers: { connection: 'keep-alive' } })
    .then(({ status, headers }) => ({ status, keepAlive: String(headers['keep-alive']) }))
  const before = await send()
  assert.equal(before.status, 200)
  platform.store.put('op', 'config', { ...describeConfiguration(2), limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_000, headerTimeoutS: 3, idleTimeoutS: 40 } })
  await waitUntil('the configuration is active', () => platform.hosts[0]?.dump().includes('"configuration":2') === true)
  assert.equal((await send()).status, 413)
  const read = await sendRequest(address, '/reads/7', { headers: { connection: 'keep-alive' } })
  const seconds = Number(/timeout=(\d+)/.exec(String(read.headers['keep-alive']))?.[1])
  assert.ok(seconds >= 40, `idle connections are closed after ${seconds} s`)
}))
