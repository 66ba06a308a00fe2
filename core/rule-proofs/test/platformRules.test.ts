// Guards against a page that says that a rule is proved by a test that does not exist.
import assert from 'node:assert/strict'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import { findProblems } from '../src/findProblems.js'
import { parseRuleTable, ProofState } from '../src/parseRuleTable.js'

const root = new URL('../../../../', import.meta.url).pathname

/** Finds the package by the name of its folder. */
function readTestFile (file: string): string | undefined {
  const [name = '', testName = ''] = file.split('/')
  const paths = readdirSync(root, { withFileTypes: true })
    .filter(entry => entry.isDirectory() && !entry.name.startsWith('.') && entry.name !== 'node_modules')
    .map(entry => join(root, entry.name, name, 'test', `${testName}.test.ts`))
  const path = paths.find(each => existsSync(each))
  return path === undefined ? undefined : readFileSync(path, 'utf8')
}

test('each rule of the platform names tests that exist, or says what is not proved', context => {
  const rows = parseRuleTable(readFileSync(join(root, 'docs/platform-rules.md'), 'utf8'))
  const count = (state: ProofState): number => rows.filter(row => row.state === state).length
  context.diagnostic(`${rows.length} rows: ${count(ProofState.Proved)} proved, ${count(ProofState.Partly)} partly, ${count(ProofState.Not)} not`)
  assert.ok(rows.length > 0)
  assert.deepEqual(findProblems({ rows, readTestFile }), [])
})

test('rows without tests, states or reasons, and tests that do not exist, are found', () => {
  const rows = parseRuleTable([
    '| rule | promise | mechanism | tests | soak | state |',
    '| --- | --- | --- | --- | --- | --- |',
    '| A-1 | p | m | package/file: a test | s | proved |',
    '| A-2 | p | m | package/file: no such test | s | proved |',
    '| A-3 | p | m | package/other: a test | s | proved |',
    '| A-4 | p | m | - | s | proved |',
    '| A-5 | p | m | package/file: a test | s | partly |',
    '| A-6 | p | m | - | s | not: no day plays it |',
    '| A-6 | p | m | - | s | unknown |',
    '| A-7 | p | m | package/file: a; package/file: test | s | partly: one case |'
  ].join('\n'))
  assert.equal(rows.length, 8)
  assert.deepEqual(findProblems({ rows, readTestFile: file => file === 'package/file' ? 'test(\'a test\', () => {})' : undefined }), [
    'A-6: the ID stands twice',
    'A-2: no test "no such test" in package/file',
    'A-3: no test file package/other',
    'A-4: says proved without a test',
    'A-5: says partly without a reason',
    'A-6: the state is none of proved, partly, not'
  ])
})
