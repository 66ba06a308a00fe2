// The links to all servers of the registry, by service.
import type { RegisteredServer, RegistryState } from '@siskinbeam/server-registry/serverRegistry'
import { createServerLink, type ServerLink } from './serverLink.js'

export interface ServerLinks {
  listService: (service: string) => ServerLink[]
  count: () => number
  /** Brings the links of these servers in line with the registry. */
  follow: (registry: RegistryState, ids: string[]) => void
  close: () => void
}

export interface CreateServerLinksOptions {
  now: () => number
  onConnectionOpened: () => void
}

/** Creates an empty set of links. */
export function createServerLinks (options: CreateServerLinksOptions): ServerLinks {
  const links = new Map<string, ServerLink>()
  let byService = new Map<string, ServerLink[]>()

  const followOne = (id: string, server: RegisteredServer | undefined): void => {
    const known = links.get(id)
    if (known !== undefined && server !== undefined && isSameStart(known.server, server)) {
      known.update(server, options.now())
      return
    }
    known?.close()
    links.delete(id)
    if (server !== undefined) links.set(id, createServerLink({ server, now: options.now(), onConnectionOpened: options.onConnectionOpened }))
  }

  return {
    listService: service => byService.get(service) ?? [],
    count: () => links.size,
    follow: (registry, ids) => {
      ids.forEach(id => followOne(id, registry.servers.get(id)?.server))
      byService = groupByService(links)
    },
    close: () => links.forEach(link => link.close())
  }
}

function groupByService (links: Map<string, ServerLink>): Map<string, ServerLink[]> {
  const groups = new Map<string, ServerLink[]>()
  links.forEach(link => groups.set(link.server.service, [...groups.get(link.server.service) ?? [], link]))
  return groups
}

function isSameStart (first: RegisteredServer, second: RegisteredServer): boolean {
  return first.boot === second.boot && first.address === second.address && first.service === second.service
}
