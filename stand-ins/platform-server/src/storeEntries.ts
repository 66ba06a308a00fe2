// Rows that servers and the operator write to the store of the users' platform.

/** The fields of a server's entry. */
export interface CreateServerEntryOptions {
  service: string
  address: string
  dataCentre: string
  slots: number
  isDraining: boolean
  /** Sequence number of the entry among those of the server. */
  sequence: number
  /** Start of the server in epoch milliseconds. */
  startedAt: number
}

/** Returns the entry of a server in the format of the store. */
export function createServerEntry ({ service, address, dataCentre, slots, isDraining, sequence, startedAt }: CreateServerEntryOptions): Record<string, unknown> {
  return { service, address, zone: dataCentre, version: 'v1', slots, state: isDraining ? 'draining' : 'ready', warmupLeftS: 0, sequence, born: startedAt }
}

export interface CreateConfigurationOptions {
  version: number
  guestHost: string
  service: string
  routeTimeoutMilliseconds: number
  maximumAttempts: number
}

const targetLatencySeconds = 0.4

/** Returns a configuration with a route for reads, one for bookings, and one that only this version has. */
export function createConfiguration ({ version, guestHost, service, routeTimeoutMilliseconds, maximumAttempts }: CreateConfigurationOptions): Record<string, unknown> {
  const route = { host: guestHost, timeoutS: routeTimeoutMilliseconds / 1_000, targetLatencyS: targetLatencySeconds, priority: 1, service, maxAttempts: maximumAttempts }
  return {
    version: `r${version}`,
    routes: [
      { ...route, name: 'reads', prefix: '/reads/', kind: 'safe' },
      { ...route, name: 'bookings', prefix: '/bookings/', kind: 'unsafe' },
      { ...route, name: `added-${version}`, prefix: `/added/${version}/`, kind: 'safe' }
    ],
    services: [{ name: service, healthPath: '/health', maxConns: 200 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutS: 3, idleTimeoutS: 15 }
  }
}
