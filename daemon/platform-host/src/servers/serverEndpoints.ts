// Endpoints of all servers in the registry, grouped by service. In a large service, each host prefers a subset
// of the servers, so that it reuses its connections.
import { ServerState, type RegisteredServer, type RegistryState } from '@siskinbeam/server-registry/serverRegistry'
import { chooseSubset } from '@siskinbeam/subsets/chooseSubset'
import { roundDownToPowerOfTwo, computeSubsetSize } from '@siskinbeam/subsets/computeSubsetSize'
import { createServerEndpoint, type ServerEndpoint } from './serverEndpoint.js'

export interface ServerEndpoints {
  listService: (service: string) => ServerEndpoint[]
  listAll: () => ServerEndpoint[]
  /** Updates the endpoints of the servers with the given IDs to match the registry. */
  applyChanges: (registry: RegistryState, ids: string[]) => void
  /** Recomputes the preferred subsets if the rounded number of entry hosts has changed. */
  resizeSubsets: () => void
  close: () => void
}

export interface CreateServerEndpointsOptions {
  /** Name of this host, used as the seed of its subsets. */
  host: string
  dataCentre: string
  /** Number of live entry hosts in this data centre. */
  countHosts: () => number
  dataCentres: number
  now: () => number
  onConnectionOpened: () => void
  /** Number of connections that this host may have to a server of a service. */
  connectionLimitOf: (service: string) => number
  /** Called when the entry of a server that had not announced to leave is replaced or removed. */
  onLost: (endpoint: ServerEndpoint, isReplaced: boolean) => void
}

/** Creates an empty collection. */
export function createServerEndpoints (options: CreateServerEndpointsOptions): ServerEndpoints {
  const endpoints = new Map<string, ServerEndpoint>()
  const byService = new Map<string, ServerEndpoint[]>()
  let hosts = 1

  const removeFromService = (endpoint: ServerEndpoint): void => {
    const { service } = endpoint.server
    const others = byService.get(service)?.filter(other => other !== endpoint) ?? []
    if (others.length === 0) byService.delete(service)
    else byService.set(service, others)
  }

  const addToService = (endpoint: ServerEndpoint): void => {
    const { service } = endpoint.server
    const others = byService.get(service)
    if (others === undefined) byService.set(service, [endpoint])
    else others.push(endpoint)
  }

  /** Returns the services whose servers have changed. */
  const applyChange = (id: string, server: RegisteredServer | undefined): string[] => {
    const existing = endpoints.get(id)
    if (existing !== undefined && server !== undefined && isSameInstance(existing.server, server)) {
      existing.update(server, options.now())
      return [server.service]
    }
    if (existing !== undefined) {
      if (existing.server.state === ServerState.Ready) options.onLost(existing, server !== undefined)
      existing.close()
      endpoints.delete(id)
      removeFromService(existing)
    }
    if (server !== undefined) {
      const endpoint = createServerEndpoint({ server, now: options.now, onConnectionOpened: options.onConnectionOpened, connectionLimit: () => options.connectionLimitOf(server.service) })
      endpoints.set(id, endpoint)
      addToService(endpoint)
    }
    return [existing?.server.service, server?.service].filter(service => service !== undefined)
  }

  const assignPreferred = (group: ServerEndpoint[], sharingHosts: number): void => {
    const size = computeSubsetSize({ servers: group.length, hosts: sharingHosts })
    const servers = group.map(endpoint => ({ name: endpoint.server.id, dataCentre: endpoint.server.dataCentre, endpoint }))
    const chosen = new Set(chooseSubset({ hostSeed: options.host, servers, size, readRoundTripMilliseconds: () => 0 }).map(({ endpoint }) => endpoint))
    group.forEach(endpoint => { endpoint.preferred = chosen.has(endpoint) })
  }

  const choosePreferred = (service: ServerEndpoint[]): void => {
    const ready = service.filter(({ server }) => server.state === ServerState.Ready)
    assignPreferred(ready.filter(({ server }) => server.dataCentre === options.dataCentre), hosts)
    assignPreferred(ready.filter(({ server }) => server.dataCentre !== options.dataCentre), hosts * options.dataCentres)
  }

  return {
    listService: service => byService.get(service) ?? [],
    listAll: () => [...endpoints.values()],
    applyChanges: (registry, ids) => {
      const changed = new Set(ids.flatMap(id => applyChange(id, registry.servers.get(id)?.server)))
      changed.forEach(service => choosePreferred(byService.get(service) ?? []))
    },
    resizeSubsets: () => {
      const hostCount = options.countHosts()
      if (roundDownToPowerOfTwo(hostCount) === roundDownToPowerOfTwo(hosts)) return
      hosts = hostCount
      byService.forEach(choosePreferred)
    },
    close: () => endpoints.forEach(endpoint => endpoint.close())
  }
}

function isSameInstance (first: RegisteredServer, second: RegisteredServer): boolean {
  return first.boot === second.boot && first.address === second.address && first.service === second.service
}
