// Guards against a stand-in that does not start as a process, ignores its settings or does not exit on SIGTERM.
import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { test } from 'node:test'

const programs = ['runTableService', 'runObjectStore', 'runHostList']
programs.forEach(program => test(`${program} serves until SIGTERM`, async () => {
  const child = spawn(process.execPath, [new URL(`../src/${program}.js`, import.meta.url).pathname, '--seed', '7'])
  const [line] = await once(child.stderr, 'data')
  const [, controlAddress = ''] = /controlAddress=(\S+)/.exec(String(line)) ?? []
  const faults = await (await fetch(`http://${controlAddress}/control`)).json() as { outage: boolean }
  assert.equal(faults.outage, false)
  child.kill('SIGTERM')
  assert.deepEqual(await once(child, 'exit'), [0, null])
}))

test('the process exits with an error that names an invalid setting', async () => {
  const child = spawn(process.execPath, [new URL('../src/runTableService.js', import.meta.url).pathname, '--write-cost', 'page'])
  const [line] = await once(child.stderr, 'data')
  assert.match(String(line), /write-cost/)
  assert.deepEqual(await once(child, 'exit'), [2, null])
})
