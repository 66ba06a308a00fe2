// Guards against settings, defaults or result codes in docs/OPERATIONS.md that do not match the code, and
// against an invalid example bundle on that page.
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { entryHostSettings } from '@siskinbeam/entry-host/entryHostSettings'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { validateBundle } from '@siskinbeam/schema/validateBundle'
import { nameEnvironmentVariable, type SettingDefinitions } from '@siskinbeam/settings/readSettings'

const readText = (path: string): string => readFileSync(new URL(`../../../../${path}`, import.meta.url), 'utf8')
const page = readText('docs/OPERATIONS.md')
const readRows = (head: string): string[] => page.slice(page.indexOf(head)).split('\n\n')[0]!.trimEnd().split('\n').slice(2)

test('the page lists every setting of an entry host with its variable and default', () => {
  const definitions: SettingDefinitions = entryHostSettings
  const rows = Object.values(definitions).map(({ flag, description, secret, required, default: fallback }) =>
    `| \`--${flag}\` | \`${nameEnvironmentVariable(flag)}\` | ${description}${secret === true ? ' (secret)' : ''} | ${required === true ? 'required' : fallback || 'none'} |`)
  assert.deepEqual(readRows('| flag | variable |'), rows, `the table should be\n${rows.join('\n')}`)
})

test('the page lists an action for every result code, sorted by code', () => {
  const codes = Object.values(ResultCode).filter(code => typeof code === 'number').sort((first, second) => first - second)
  const rows = readRows("| code | name | operator's action |").map(row => /^\| (\d+) \| (\w+) \| \S.* \|$/.exec(row)?.slice(1))
  assert.deepEqual(rows, codes.map(code => [String(code), ResultCode[code]]))
})

test('the example bundle of the page is valid', () => {
  const checked = validateBundle(JSON.parse(readText('examples/bundles/desk.json')))
  assert.ok(checked.ok, JSON.stringify(checked))
})
