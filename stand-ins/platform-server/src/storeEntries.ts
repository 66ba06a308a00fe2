// What servers and the operator write to the store on the users' platform.

/** A server as its entry describes it. */
export interface DescribedServer {
  service: string
  address: string
  dataCentre: string
  slots: number
  isDraining: boolean
  /** Counts the entries that a server writes. */
  sequence: number
  /** Epoch milliseconds of its start. */
  startedAt: number
}

/** The entry of a server in the store. */
export function describeServerEntry ({ service, address, dataCentre, slots, isDraining, sequence, startedAt }: DescribedServer): Record<string, unknown> {
  return { service, address, zone: dataCentre, version: 'v1', slots, state: isDraining ? 'draining' : 'ready', warmupLeftS: 0, sequence, born: startedAt }
}

export interface DescribedConfiguration {
  version: number
  guestHost: string
  service: string
  routeTimeoutMilliseconds: number
  maximumAttempts: number
}

const targetLatencySeconds = 0.4

/** A configuration with a route for reads, one for bookings, and one that only this version has. */
export function describeConfiguration ({ version, guestHost, service, routeTimeoutMilliseconds, maximumAttempts }: DescribedConfiguration): Record<string, unknown> {
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
