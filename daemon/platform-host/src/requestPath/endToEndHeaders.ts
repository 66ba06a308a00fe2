// Selects end-to-end headers, which a proxy forwards, as opposed to hop-by-hop headers.

const hopByHopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'])

/** Removes hop-by-hop headers, those named by the Connection header, and those in `dropped` (in lower case) from raw headers. */
export function selectEndToEndHeaders (rawHeaders: string[], dropped: ReadonlySet<string>): string[] {
  const names = rawHeaders.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase())
  const connectionOptions = new Set(names.flatMap((name, index) => name === 'connection' ? (rawHeaders[index * 2 + 1] ?? '').toLowerCase().split(/\s*,\s*/) : []))
  return rawHeaders.filter((_, index) => {
    const name = names[index >> 1] ?? ''
    return !hopByHopHeaders.has(name) && !connectionOptions.has(name) && !dropped.has(name)
  })
}
