// The links to all servers of the registry, by service. In a large service a host prefers a subset of
// the servers, so that its connections are used again.
import { ServerState, type RegisteredServer, type RegistryState } from '@siskinbeam/server-registry/serverRegistry'
import { chooseSubset } from '@siskinbeam/subsets/chooseSubset'
import { roundHosts, sizeSubset } from '@siskinbeam/subsets/sizeSubset'
import { createServerLink, type ServerLink } from './serverLink.js'

export interface ServerLinks {
  listService: (service: string) => ServerLink[]
  /** Brings the links of these servers in line with the registry. */
  follow: (registry: RegistryState, ids: string[]) => void
  /** Chooses the preferred servers anew if the number of entry hosts has changed much. */
  adaptToHosts: () => void
  close: () => void
}

export interface CreateServerLinksOptions {
  /** Name of this host, which decides its subsets. */
  host: string
  dataCentre: string
  /** Entry hosts of the own data centre. */
  countHosts: () => number
  dataCentres: number
  now: () => number
  onConnectionOpened: () => void
}

/** Creates an empty set of links. */
export function createServerLinks (options: CreateServerLinksOptions): ServerLinks {
  const links = new Map<string, ServerLink>()
  const byService = new Map<string, ServerLink[]>()
  let hosts = 1

  const leaveService = (link: ServerLink): void => {
    const { service } = link.server
    const others = byService.get(service)?.filter(other => other !== link) ?? []
    if (others.length === 0) byService.delete(service)
    else byService.set(service, others)
  }

  const joinService = (link: ServerLink): void => {
    const { service } = link.server
    const others = byService.get(service)
    if (others === undefined) byService.set(service, [link])
    else others.push(link)
  }

  /** Gives the services whose servers have changed. */
  const followOne = (id: string, server: RegisteredServer | undefined): string[] => {
    const known = links.get(id)
    if (known !== undefined && server !== undefined && isSameStart(known.server, server)) {
      known.update(server, options.now())
      return [server.service]
    }
    if (known !== undefined) {
      known.close()
      links.delete(id)
      leaveService(known)
    }
    if (server !== undefined) {
      const link = createServerLink({ server, now: options.now(), onConnectionOpened: options.onConnectionOpened })
      links.set(id, link)
      joinService(link)
    }
    return [known?.server.service, server?.service].filter(service => service !== undefined)
  }

  const prefer = (group: ServerLink[], sharingHosts: number): void => {
    const size = sizeSubset({ servers: group.length, hosts: sharingHosts })
    const servers = group.map(link => ({ name: link.server.id, dataCentre: link.server.dataCentre, link }))
    const chosen = new Set(chooseSubset({ hostSeed: options.host, servers, size, readRoundTripMilliseconds: () => 0 }).map(({ link }) => link))
    group.forEach(link => { link.preferred = chosen.has(link) })
  }

  const preferInService = (service: ServerLink[]): void => {
    const ready = service.filter(({ server }) => server.state === ServerState.Ready)
    prefer(ready.filter(({ server }) => server.dataCentre === options.dataCentre), hosts)
    prefer(ready.filter(({ server }) => server.dataCentre !== options.dataCentre), hosts * options.dataCentres)
  }

  return {
    listService: service => byService.get(service) ?? [],
    follow: (registry, ids) => {
      const changed = new Set(ids.flatMap(id => followOne(id, registry.servers.get(id)?.server)))
      changed.forEach(service => preferInService(byService.get(service) ?? []))
    },
    adaptToHosts: () => {
      const counted = options.countHosts()
      if (roundHosts(counted) === roundHosts(hosts)) return
      hosts = counted
      byService.forEach(preferInService)
    },
    close: () => links.forEach(link => link.close())
  }
}

function isSameStart (first: RegisteredServer, second: RegisteredServer): boolean {
  return first.boot === second.boot && first.address === second.address && first.service === second.service
}
