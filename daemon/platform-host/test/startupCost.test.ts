// Guards against a higher startup cost of a host, which is charged in full after each restart. Unneeded Node modules and
// roarr's log writer would add a tenth each, and some Node flags make Node compile its own modules at each start.
import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'

const unneededModules = ['crypto', 'tls', 'https', 'readline', 'child_process', 'worker_threads']

test('startup loads neither Node\'s crypto modules nor roarr\'s own writer to standard output', () => {
  const loaded = [new URL('../src/startPlatformHost.js', import.meta.url).href, import.meta.resolve('@siskinbeam/logging/createLogger')]
  const program = `
    ${JSON.stringify(loaded.map(url => fileURLToPath(url)))}.forEach(require)
    require('node:fs').writeSync(2, JSON.stringify({ modules: process.moduleLoadList, teardown: typeof globalThis.ROARR.teardown }))`
  const { stderr } = spawnSync(process.execPath, ['--experimental-require-module', '--no-warnings', '-e', program], { encoding: 'utf8' })
  const { modules, teardown } = JSON.parse(stderr) as { modules: string[], teardown: string }
  assert.deepEqual(unneededModules.filter(name => modules.includes(`NativeModule ${name}`)), [])
  assert.equal(teardown, 'undefined', 'roarr has installed its own writer')
})

test('the Node flags in the deploy file keep the code cache of Node\'s own modules valid', () => {
  const deployFile = readFileSync(new URL('../../../../deploy/system.toml', import.meta.url), 'utf8')
  const [, flags = ''] = /^run = "node (.*)target\/siskinbeam\.cjs"$/m.exec(deployFile) ?? []
  const program = `
    require('node:http')
    const { getCacheUsage } = require('internal/test/binding').internalBinding('builtins')
    require('node:fs').writeSync(2, JSON.stringify([...getCacheUsage().compiledWithoutCache]))`
  const { stderr } = spawnSync(process.execPath, ['--expose-internals', '--no-warnings', ...flags.split(' ').filter(flag => flag !== ''), '-e', program], { encoding: 'utf8' })
  assert.ok(!(JSON.parse(stderr) as string[]).includes('_http_server'), `the flags "${flags}" make Node compile its HTTP modules at each start`)
})
