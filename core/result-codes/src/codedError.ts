// Errors as values: a result code, the key of the invalid input and the expected value. Functions that can fail
// return a Result, so that callers have to handle the failure.
import { ResultCode } from './resultCode.js'

/** An error with a result code. `key` is the name of the invalid input, `expected` describes the accepted values. */
export interface CodedError {
  code: ResultCode
  message: string
  key?: string
  expected?: string
}

/** Either a value or a coded error. */
export type Result<Value> = { ok: true, value: Value } | { ok: false, error: CodedError }

/** Creates a successful result. */
export function succeed<Value> (value: Value): Result<Value> {
  return { ok: true, value }
}

/** Creates a failed result. */
export function fail (code: ResultCode, message: string, details: { key?: string, expected?: string } = {}): { ok: false, error: CodedError } {
  return { ok: false, error: { code, message, ...details } }
}

/** Formats a coded error as one line for operators. */
export function formatCodedError (error: CodedError): string {
  const key = error.key === undefined ? '' : ` key=${error.key}`
  const expected = error.expected === undefined ? '' : ` expected=${JSON.stringify(error.expected)}`
  return `${error.code} ${ResultCode[error.code]}: ${error.message}${key}${expected}`
}
