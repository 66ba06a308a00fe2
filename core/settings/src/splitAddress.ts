// Kept apart from the checks, so that a program that checks no settings does not load them.

/** Splits a checked address into what `listen` and `connect` take. */
export function splitAddress (address: string): { host: string, port: number } {
  const [host = '', port = ''] = address.split(':')
  return { host, port: Number(port) }
}
