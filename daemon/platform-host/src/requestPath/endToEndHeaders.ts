// Headers that pass from one side to the other: all but those that concern one connection.

const hopByHopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'])

/** Filters raw headers; `dropped` names further ones, in lower case. */
export function selectEndToEndHeaders (rawHeaders: string[], dropped: ReadonlySet<string>): string[] {
  const names = rawHeaders.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase())
  const connectionOptions = new Set(names.flatMap((name, index) => name === 'connection' ? (rawHeaders[index * 2 + 1] ?? '').toLowerCase().split(/\s*,\s*/) : []))
  return rawHeaders.filter((_, index) => {
    const name = names[index >> 1] ?? ''
    return !hopByHopHeaders.has(name) && !connectionOptions.has(name) && !dropped.has(name)
  })
}
