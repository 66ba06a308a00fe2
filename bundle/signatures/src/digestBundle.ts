// Canonical JSON and digest of a bundle body. Equal bodies have equal digests: keys are sorted, white space
// is removed, and numbers have JavaScript's shortest form (as in RFC 8785).
import { createHash } from 'node:crypto'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'

// A bundle has at most 6 levels. The limit prevents a malicious document from exhausting the stack.
const maximumDepth = 32

/**
 * Formats a value as canonical JSON. Undefined members are omitted, as in JSON.stringify. Throws a TypeError
 * for any other value that JSON cannot represent, and for more than 32 levels of nesting.
 */
export function formatCanonicalJson (value: unknown, depth = 0): string {
  if (depth > maximumDepth) throw new TypeError(`nested deeper than ${maximumDepth} levels`)
  if (Array.isArray(value)) return `[${value.map(element => formatCanonicalJson(element, depth + 1)).join(',')}]`
  if (typeof value === 'object' && value !== null) return formatObject(value as Record<string, unknown>, depth)
  if (typeof value === 'number' && !Number.isFinite(value)) throw new TypeError(`${value} is not a JSON number`)
  const text = JSON.stringify(value) as string | undefined
  if (text === undefined) throw new TypeError(`a ${typeof value} is not a JSON value`)
  return text
}

function formatObject (value: Record<string, unknown>, depth: number): string {
  const members = Object.keys(value)
    .filter(key => value[key] !== undefined)
    .sort()
    .map(key => `${JSON.stringify(key)}:${formatCanonicalJson(value[key], depth + 1)}`)
  return `{${members.join(',')}}`
}

/** Computes the SHA-256 of the canonical JSON of a body as 64 hexadecimal digits. Fails with BundleInvalid if the body is not a JSON value. */
export function digestBundle (body: unknown): Result<string> {
  try {
    return succeed(createHash('sha256').update(formatCanonicalJson(body), 'utf8').digest('hex'))
  } catch (error) {
    return fail(ResultCode.BundleInvalid, `the body cannot be converted to canonical JSON: ${(error as Error).message}`, { key: 'body', expected: 'a JSON object' })
  }
}
