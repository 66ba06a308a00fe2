// Matches requests to services and routes by the longest path prefix, so that the order in the bundle has no
// effect.
import { isPathUnder } from './validateBundle.js'
import type { Bundle, RouteConfiguration, ServiceConfiguration } from './bundle.js'

export interface RouteMatch {
  service?: ServiceConfiguration
  route?: RouteConfiguration
}

/** Finds the service and the route for a method and a path. */
export type FindRoute = (method: string, path: string) => RouteMatch

const comparePrefixLengths = (first: { pathPrefix: string }, second: { pathPrefix: string }): number =>
  second.pathPrefix.length - first.pathPrefix.length

/** Creates the lookup for a bundle. Services are keyed by prefix, so that the cost depends on the depth of the path and not on the number of services. */
export function createRouteFinder (bundle: Bundle): FindRoute {
  const services = new Map(bundle.services.map(service => [trimTrailingSlash(service.pathPrefix), service]))
  const routes = new Map(bundle.services.map(service => [service.name, [...service.routes].sort(comparePrefixLengths)]))
  return (method, path) => {
    const prefix = listPrefixes(path).find(candidate => services.has(candidate))
    const service = prefix === undefined ? undefined : services.get(prefix)
    if (service === undefined) return {}
    const route = routes.get(service.name)?.find(({ methods, pathPrefix }) =>
      isPathUnder(path, pathPrefix) && (methods as string[]).includes(method))
    return route === undefined ? { service } : { service, route }
  }
}

const trimTrailingSlash = (path: string): string => path.endsWith('/') ? path.slice(0, -1) : path

function listPrefixes (path: string): string[] {
  const trimmed = trimTrailingSlash(path)
  const ends = [...trimmed].flatMap((character, position) => character === '/' ? [position] : [])
  return [trimmed, ...ends.reverse().map(end => trimmed.slice(0, end))]
}
