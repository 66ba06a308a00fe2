// Finds the route of a request: among the routes of its host, the one with the longest prefix that
// begins its path. The cost grows with the number of different prefix lengths, not with the routes.
import type { Configuration, Route, ServiceRule } from './configuration.js'

/** A configuration prepared for look-ups. */
export interface RouteTable {
  configuration: Configuration
  findRoute: (host: string, path: string) => Route | undefined
  findService: (name: string) => ServiceRule | undefined
  /** Whether requests of another route to this service are more important. */
  isLessImportant: (route: Route, service: string) => boolean
}

interface HostRoutes {
  byPrefix: Map<string, Route>
  /** Descending. */
  lengths: number[]
}

/** Prepares a configuration. */
export function createRouteTable (configuration: Configuration): RouteTable {
  const hosts = new Map<string, HostRoutes>()
  configuration.routes.forEach(route => {
    const routes = hosts.get(route.host) ?? { byPrefix: new Map<string, Route>(), lengths: [] }
    routes.byPrefix.set(route.prefix, route)
    hosts.set(route.host, routes)
  })
  hosts.forEach(routes => {
    routes.lengths = [...new Set([...routes.byPrefix.keys()].map(prefix => prefix.length))].sort((first, second) => second - first)
  })
  const highestPriorities = new Map<string, number>()
  configuration.routes.forEach(({ priority, services }) => services.filter(({ weight }) => weight > 0).forEach(({ service }) => {
    highestPriorities.set(service, Math.min(priority, highestPriorities.get(service) ?? Infinity))
  }))
  const services = new Map(configuration.services.map(service => [service.name, service]))

  return {
    configuration,
    findService: name => services.get(name),
    isLessImportant: ({ priority }, service) => priority > (highestPriorities.get(service) ?? priority),
    findRoute: (host, path) => {
      const routes = hosts.get(host.toLowerCase().replace(/:\d+$/, ''))
      const length = routes?.lengths.find(length => routes.byPrefix.has(path.slice(0, length)))
      return length === undefined ? undefined : routes?.byPrefix.get(path.slice(0, length))
    }
  }
}

/** Picks a service of the route by weight. `random` is in [0, 1). */
export function pickService (route: Route, random: number): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  const sums = route.services.map((_, index) => route.services.slice(0, index + 1).reduce((sum, { weight }) => sum + weight, 0))
  return route.services[sums.findIndex(sum => random * total < sum)]?.service
}
