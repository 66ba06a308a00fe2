// Reads the list of tests that are known to fail.

/** An entry of the list. */
export interface KnownFailure {
  /** Path of the test file, relative to the root of the repository. */
  file: string
  /** Name of the test as the runner prints it. */
  test: string
  command: string
  /** What the failing test showed. */
  seen: string
  issue: string
}

const keys = ['file', 'test', 'command', 'seen', 'issue'] as const

/** Parses the list. Throws if an entry lacks a key or has an unknown one, since a misspelt entry must not go unnoticed. */
export function parseKnownFailures (text: string): KnownFailure[] {
  return text
    .split(/\n\s*\n/)
    .map(block => block.split('\n').map(line => line.trim()).filter(line => line !== '' && !line.startsWith('#')))
    .filter(lines => lines.length > 0)
    .map(parseEntry)
}

function parseEntry (lines: string[]): KnownFailure {
  const fields = new Map(lines.map(line => {
    const separator = line.indexOf(':')
    return [line.slice(0, Math.max(0, separator)).trim(), line.slice(separator + 1).trim()]
  }))
  const unknown = [...fields.keys()].find(key => !keys.includes(key as typeof keys[number]))
  if (unknown !== undefined) throw new Error(`unknown key in an entry: "${unknown}"`)
  const missing = keys.find(key => (fields.get(key) ?? '') === '')
  if (missing !== undefined) throw new Error(`entry without "${missing}": ${lines[0] ?? ''}`)
  return Object.fromEntries(fields) as unknown as KnownFailure
}
