// Guards against ephemeral ports, which an outgoing connection of another process may take before they are
// bound: entry hosts of a soak test failed to start with EADDRINUSE.
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import { test } from 'node:test'
import { findFreePort } from '../src/findFreePort.js'

const firstEphemeralPort = 32_768

test('ports are distinct and below the ephemeral port range', async () => {
  const ports = await Promise.all(Array.from({ length: 50 }, findFreePort))
  assert.equal(new Set(ports).size, 50)
  assert.ok(ports.every(port => port >= 1_024 && port < firstEphemeralPort), ports.join())
})

test('a port that is in use is skipped', async () => {
  const next = await findFreePort() + 1
  const listener = createServer()
  await new Promise<void>(resolve => listener.listen(next, '127.0.0.1', resolve))
  assert.notEqual(await findFreePort(), next)
  await new Promise(resolve => listener.close(resolve))
})
