// Splits addresses. Separate from settingChecks.ts, so that programs without settings do not load the schemas.

/** Splits a valid address into the host and port for `listen` and `connect`. */
export function splitAddress (address: string): { host: string, port: number } {
  const [host = '', port = ''] = address.split(':')
  return { host, port: Number(port) }
}
