// What an entry host keeps of one service while a bundle is in force.
import type { ServerPlace, ServiceRule } from '@siskinbeam/schema/bundle'
import type { ServerConnections } from './serverConnections.js'

/** One server of a service. */
export interface ServerRuntime {
  place: ServerPlace
  host: string
  port: number
  connections: ServerConnections
  inFlight: number
}

/** One service. */
export interface ServiceRuntime {
  rule: ServiceRule
  servers: Map<string, ServerRuntime>
}
