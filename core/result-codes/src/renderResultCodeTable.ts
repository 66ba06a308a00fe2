// Generates the table of docs/result-codes.md.
import { describeResultCode, listResultCodes } from './describeResultCode.js'
import { ResultCode } from './resultCode.js'

const header = '| code | name | HTTP status | outcome | meaning | action |\n| --- | --- | --- | --- | --- | --- |\n'

/** Renders all result codes as a Markdown table. */
export function renderResultCodeTable (): string {
  return header + listResultCodes().map(code => {
    const { status, outcome, meaning, action } = describeResultCode(code)
    return `| ${code} | ${ResultCode[code]} | ${status ?? '-'} | ${outcome ?? '-'} | ${meaning} | ${action} |\n`
  }).join('')
}
