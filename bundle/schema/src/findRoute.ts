// Finds the service and the route of a request: the longest path prefix wins, so that the order in
// which an operator lists them does not matter.
import { pathStartsWith } from './checkBundle.js'
import type { Bundle, RouteRule, ServiceRule } from './bundle.js'

export interface FoundRoute {
  service?: ServiceRule
  route?: RouteRule
}

/** Looks up service and route by method and path. */
export type FindRoute = (method: string, path: string) => FoundRoute

const byLongestPrefix = (first: { pathPrefix: string }, second: { pathPrefix: string }): number =>
  second.pathPrefix.length - first.pathPrefix.length

/** Prepares the lookup of one bundle. Services are keyed by prefix, so that a lookup costs the depth of the path and not the number of services. */
export function createRouteFinder (bundle: Bundle): FindRoute {
  const services = new Map(bundle.services.map(service => [trimSlash(service.pathPrefix), service]))
  const routes = new Map(bundle.services.map(service => [service.name, [...service.routes].sort(byLongestPrefix)]))
  return (method, path) => {
    const prefix = listPrefixes(path).find(candidate => services.has(candidate))
    const service = prefix === undefined ? undefined : services.get(prefix)
    if (service === undefined) return {}
    const route = routes.get(service.name)?.find(({ methods, pathPrefix }) =>
      pathStartsWith(path, pathPrefix) && (methods as string[]).includes(method))
    return route === undefined ? { service } : { service, route }
  }
}

const trimSlash = (path: string): string => path.endsWith('/') ? path.slice(0, -1) : path

function listPrefixes (path: string): string[] {
  const trimmed = trimSlash(path)
  const ends = [...trimmed].flatMap((character, position) => character === '/' ? [position] : [])
  return [trimmed, ...ends.reverse().map(end => trimmed.slice(0, end))]
}
