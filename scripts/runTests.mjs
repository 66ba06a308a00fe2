// Runs every compiled test file with the Node.js test runner. The files are listed explicitly because the
// runner of Node.js 20 does not support glob patterns and would also run helper modules in test directories.
// The tests that KNOWN-RED.txt lists have to fail, and all others have to pass.
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, readdirSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { assessTestRun } from '../core/known-failures/lib/src/assessTestRun.js'
import { parseKnownFailures } from '../core/known-failures/lib/src/parseKnownFailures.js'

const rootDirectory = new URL('..', import.meta.url).pathname
const { references } = JSON.parse(readFileSync(join(rootDirectory, 'tsconfig.json'), 'utf8'))
const files = references
  .map(({ path }) => join(path, 'lib', 'test'))
  .filter(directory => existsSync(join(rootDirectory, directory)))
  .flatMap(directory => readdirSync(join(rootDirectory, directory)).map(name => join(directory, name)))
  .filter(file => file.endsWith('.test.js') && existsSync(join(rootDirectory, file.replace('/lib/test/', '/test/').replace(/\.js$/, '.ts'))))

const listFile = join(rootDirectory, 'KNOWN-RED.txt')
const list = existsSync(listFile) ? parseKnownFailures(readFileSync(listFile, 'utf8')) : []
const directory = mkdtempSync(join(tmpdir(), 'siskinbeam-tests-'))
const resultFile = join(directory, 'results.jsonl')
const reporters = [['spec', 'stdout'], [join(rootDirectory, 'scripts/recordTestResults.mjs'), resultFile]]
  .flatMap(([reporter, destination]) => [`--test-reporter=${reporter}`, `--test-reporter-destination=${destination}`])
const { status, signal } = spawnSync(process.execPath, ['--test', '--test-timeout=180000', ...reporters, ...files], { cwd: rootDirectory, stdio: 'inherit' })
const results = readFileSync(resultFile, 'utf8').split('\n').filter(line => line !== '').map(line => JSON.parse(line))
rmSync(directory, { recursive: true })

const { passes, unexpected, known, fixed, unmatched } = assessTestRun(results, list)
unexpected.forEach(({ file, name }) => console.log(`failed: ${file}: ${name}`))
known.forEach(({ file, test, seen, issue }) => console.log(`known failure, passed over: ${file}: ${test} (issue ${issue}: ${seen})`))
fixed.forEach(({ file, test }) => console.log(`KNOWN-RED.txt lists a test that passes: ${file}: ${test}`))
unmatched.forEach(({ file, test }) => console.log(`KNOWN-RED.txt lists a test that does not exist: ${file}: ${test}`))
// The runner also fails without a failed test, for example if it is terminated or a file fails outside of its tests.
const isRunnerFailure = signal !== null || (status !== 0 && known.length === 0)
process.exitCode = passes && !isRunnerFailure ? 0 : 1
