// Runs every compiled test file with node's own runner. The files are listed here because the runner
// of Node 20 takes no patterns, and would otherwise also pick up helpers in the test directories.
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'

const rootDirectory = new URL('..', import.meta.url).pathname
const { references } = JSON.parse(readFileSync(join(rootDirectory, 'tsconfig.json'), 'utf8'))
const files = references
  .map(({ path }) => join(path, 'lib', 'test'))
  .filter(directory => existsSync(join(rootDirectory, directory)))
  .flatMap(directory => readdirSync(join(rootDirectory, directory)).map(name => join(directory, name)))
  .filter(file => file.endsWith('.test.js') && existsSync(join(rootDirectory, file.replace('/lib/test/', '/test/').replace(/\.js$/, '.ts'))))

const { status } = spawnSync(process.execPath, ['--test', '--test-timeout=180000', '--test-reporter=spec', ...files], { cwd: rootDirectory, stdio: 'inherit' })
process.exitCode = status ?? 1
