// Makes the runtimes of the services of a bundle. What was learnt about a server, and its
// connections, outlive a change of bundle that leaves the server in place.
import type { Bundle, ServerPlace } from '@siskinbeam/schema/bundle'
import { splitAddress } from '@siskinbeam/settings/settingChecks'
import { ServerConnections } from './serverConnections.js'
import type { ServerRuntime, ServiceRuntime } from './serviceRuntime.js'

export interface CreateServiceRuntimesOptions {
  bundle: Bundle
  previous: Map<string, ServiceRuntime>
  now: () => number
  outgoingAddress: string | undefined
}

/** Makes the runtimes of a bundle from those of the one before. */
export function createServiceRuntimes ({ bundle, previous, now, outgoingAddress }: CreateServiceRuntimesOptions): Map<string, ServiceRuntime> {
  const createServer = (place: ServerPlace): ServerRuntime => ({
    place,
    ...splitAddress(place.address),
    connections: new ServerConnections({ now, maximumConnections: place.connections, outgoingAddress }),
    inFlight: 0
  })
  return new Map(bundle.services.map(rule => {
    const before = previous.get(rule.name)
    const servers = rule.servers.map((place): [string, ServerRuntime] => {
      const known = before?.servers.get(place.name)
      return [place.name, known?.place.address === place.address ? Object.assign(known, { place }) : createServer(place)]
    })
    return [rule.name, { rule, servers: new Map(servers) }]
  }))
}
