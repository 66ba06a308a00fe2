// Finds the route of a request by host name and longest path prefix. The cost of a lookup depends on the number
// of distinct prefix lengths, not on the number of routes.
import type { Configuration, Route, PlatformServiceConfiguration } from './configuration.js'

/** A configuration indexed for lookups. */
export interface RouteTable {
  configuration: Configuration
  findRoute: (host: string, path: string) => Route | undefined
  findService: (name: string) => PlatformServiceConfiguration | undefined
  /** Whether another route to this service has a higher priority. */
  isLessImportant: (route: Route, service: string) => boolean
}

interface HostRoutes {
  byPrefix: Map<string, Route>
  /** Distinct lengths in descending order. */
  prefixLengths: number[]
}

/** Builds the index of a configuration. */
export function createRouteTable (configuration: Configuration): RouteTable {
  const hosts = new Map<string, HostRoutes>()
  configuration.routes.forEach(route => {
    const routes = hosts.get(route.host) ?? { byPrefix: new Map<string, Route>(), prefixLengths: [] }
    routes.byPrefix.set(route.prefix, route)
    hosts.set(route.host, routes)
  })
  hosts.forEach(routes => {
    routes.prefixLengths = [...new Set([...routes.byPrefix.keys()].map(prefix => prefix.length))].sort((first, second) => second - first)
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
      const length = routes?.prefixLengths.find(length => routes.byPrefix.has(path.slice(0, length)))
      return length === undefined ? undefined : routes?.byPrefix.get(path.slice(0, length))
    }
  }
}

/** Selects a service of the route by weight. `random` is in [0, 1). Returns undefined if all weights are 0. */
export function pickService (route: Route, random: number): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  const cumulativeWeights = route.services.map((_, index) => route.services.slice(0, index + 1).reduce((sum, { weight }) => sum + weight, 0))
  return route.services[cumulativeWeights.findIndex(sum => random * total < sum)]?.service
}
