// Errors as values: a numbered code, the key that was wrong and what was expected. Functions that can
// fail return a Result, so that a caller cannot overlook the failure.
import { ResultCode } from './resultCode.js'

/** An error with its number. `key` names the offending input, `expected` what would be accepted. */
export interface CodedError {
  code: ResultCode
  message: string
  key?: string
  expected?: string
}

/** Either a value or a coded error. */
export type Result<Value> = { ok: true, value: Value } | { ok: false, error: CodedError }

/** Wraps a value in a successful result. */
export function succeed<Value> (value: Value): Result<Value> {
  return { ok: true, value }
}

/** Makes a failed result. */
export function fail (code: ResultCode, message: string, where: { key?: string, expected?: string } = {}): { ok: false, error: CodedError } {
  return { ok: false, error: { code, message, ...where } }
}

/** Formats a coded error as one line for operators. */
export function formatCodedError (error: CodedError): string {
  const key = error.key === undefined ? '' : ` key=${error.key}`
  const expected = error.expected === undefined ? '' : ` expected=${JSON.stringify(error.expected)}`
  return `${error.code} ${ResultCode[error.code]}: ${error.message}${key}${expected}`
}
