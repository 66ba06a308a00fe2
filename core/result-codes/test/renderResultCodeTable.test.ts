// Guards against a result code that is missing from the documentation or described differently there.
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { listResultCodes } from '../src/describeResultCode.js'
import { formatCodedError } from '../src/codedError.js'
import { renderResultCodeTable } from '../src/renderResultCodeTable.js'
import { ResultCode } from '../src/resultCode.js'

test('docs/result-codes.md contains the generated table', () => {
  const page = readFileSync(new URL('../../../../docs/result-codes.md', import.meta.url), 'utf8')
  assert.ok(page.endsWith(renderResultCodeTable()), 'run "npm run result-codes"')
})

test('result codes are unique numbers', () => {
  const codes = listResultCodes()
  assert.equal(new Set(codes).size, codes.length)
  assert.equal(codes.length, Object.keys(ResultCode).length / 2)
})

test('a formatted error contains its key and the expected value', () => {
  assert.equal(
    formatCodedError({ code: ResultCode.SettingInvalid, message: 'wrong', key: 'seconds', expected: 'a number' }),
    '601 SettingInvalid: wrong key=seconds expected="a number"'
  )
})
