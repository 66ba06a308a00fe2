// Guards against ports that another process takes before they are bound, or while the host that listens on them is
// being restarted: entry hosts of a soak test failed to start with EADDRINUSE, or exchanged servers with those of another test.
import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
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

// Hosts of two tests were given the same ports if the process IDs of the tests were 20 apart.
test('processes that run at the same time get different ports', async () => {
  const children = Array.from({ length: 24 }, () => spawn(process.execPath, [new URL('support/drawPorts.js', import.meta.url).pathname, '150'], { stdio: ['pipe', 'pipe', 'inherit'] }))
  const ports = await Promise.all(children.map(async ({ stdout }) => {
    const chunks: Buffer[] = []
    for await (const chunk of stdout) {
      chunks.push(chunk as Buffer)
      if ((chunk as Buffer).includes(10)) break
    }
    return JSON.parse(Buffer.concat(chunks).toString()) as number[]
  }))
  await Promise.all(children.map(async child => {
    child.stdin.end()
    if (child.exitCode === null) await once(child, 'exit')
  }))
  const all = ports.flat()
  assert.equal(all.length, 24 * 150)
  assert.equal(new Set(all).size, all.length, 'ports that two processes were given')
})
