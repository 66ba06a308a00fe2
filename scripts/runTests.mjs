// Runs every compiled test file with the Node.js test runner. The files are listed explicitly because the
// runner of Node.js 20 does not support glob patterns and would also run helper modules in test directories.
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
