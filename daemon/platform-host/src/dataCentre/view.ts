// This host's view of the configuration and the servers, regardless of which source the data comes from.
import type { Configuration } from '@siskinbeam/route-table/configuration'
import { createRouteTable, type RouteTable } from '@siskinbeam/route-table/createRouteTable'
import { applyDepartures, describeDepartures, type DepartureReport } from '@siskinbeam/server-registry/departureReports'
import { applyUpdate, createRegistry, applyHeldRemovals, type RegistryState, type RegistryUpdate } from '@siskinbeam/server-registry/serverRegistry'
import type { HostMetrics } from '../platformHost.js'
import type { Logger } from '@siskinbeam/logging/createLogger'

export interface View {
  routes: () => RouteTable | undefined
  registry: RegistryState
  /** Activates a configuration unless its version is equal to or lower than the current one. */
  applyConfiguration: (configuration: Configuration, source: string) => void
  applyServers: (update: RegistryUpdate, source: string) => void
  applyHeldRemovals: () => void
  /** Applies what another host knows of servers that have left or leave. */
  applyDepartures: (report: DepartureReport, source: string) => void
  describeDepartures: () => DepartureReport | undefined
  /** Registers a listener that is called after each change. */
  onChange: (listener: () => void) => void
}

export interface CreateViewOptions {
  logger: Logger
  metrics: HostMetrics
  now: () => number
  onServers: (registry: RegistryState, ids: string[]) => void
  /** Called when the store was restored from an older copy, which does not have the latest rows. */
  onHistoryChanged: () => void
}

/** Creates an empty view. */
export function createView ({ logger, metrics, now, onServers, onHistoryChanged }: CreateViewOptions): View {
  const registry = createRegistry()
  const listeners: Array<() => void> = []
  let table: RouteTable | undefined
  const notify = (): void => listeners.forEach(listener => listener())
  const publishServerChanges = (ids: string[], source: string): void => {
    if (ids.length === 0) return
    onServers(registry, ids)
    metrics.count('server_changes_total', ids.length)
    ids.forEach(id => {
      const server = registry.servers.get(id)?.server
      logger.info('server changed', { server: id, state: server?.state ?? 'gone', service: server?.service, address: server?.address, version: registry.version, source })
    })
    notify()
  }
  return {
    routes: () => table,
    registry,
    applyConfiguration: (configuration, source) => {
      if (table !== undefined && configuration.version <= table.configuration.version) return
      table = createRouteTable(configuration)
      logger.info('configuration in force', { configuration: configuration.version, routes: configuration.routes.length, source })
      notify()
    },
    applyServers: (update, source) => {
      const { era, version } = registry
      publishServerChanges(applyUpdate(registry, update, now()), source)
      if (registry.era === era || version === 0) return
      logger.warn('store history changed', { from: era, to: registry.era, servers: registry.servers.size, source })
      onHistoryChanged()
      notify()
    },
    applyHeldRemovals: () => publishServerChanges(applyHeldRemovals(registry, now()), 'lapsed'),
    applyDepartures: (report, source) => {
      const learnt = registry.history.learntRevision
      publishServerChanges(applyDepartures(registry, report, now()), source)
      if (registry.history.learntRevision !== learnt) notify()
    },
    describeDepartures: () => describeDepartures(registry, now()),
    onChange: listener => { listeners.push(listener) }
  }
}
