// Watches the connections to a server for ones that have gone silent, and does what follows from it.
import { ConnectionCommandKind, ConnectionEventKind, type ConnectionCommand, type ConnectionEvent } from '@siskinbeam/connection-shares/connectionTypes'
import { stepConnectionHealth } from '@siskinbeam/connection-shares/stepConnectionHealth'
import { HealthEventKind } from '@siskinbeam/server-health/healthState'
import type { EntryHost } from '../entryHost.js'
import { feedHealth } from './observeServers.js'
import { checkServer, ProbeEnd } from './probeServer.js'
import type { ServerRuntime, ServiceRuntime } from './serviceRuntime.js'

// Checks are probes on connections that the agent does not know; they get ids below those of the agent.
let lastCheckId = 0

/** Steps the connection health of a server and does what it asks for. */
export function feedConnections (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, event: ConnectionEvent): void {
  stepConnectionHealth({ state: server.connectionHealth, event, now: host.now() }).forEach(command =>
    (commandHandlers[command.kind] as (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, command: ConnectionCommand) => void)(host, service, server, command))
}

type CommandHandlers = {
  [Kind in ConnectionCommandKind]: (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, command: Extract<ConnectionCommand, { kind: Kind }>) => void
}

const commandHandlers: CommandHandlers = {
  [ConnectionCommandKind.Close]: (host, service, server, { connectionId, reason }) => {
    host.metrics.count(`connections_closed_total{reason="${reason}"}`)
    host.logger.info('connection closed', { service: service.rule.name, server: server.place.name, connection: connectionId, reason })
    server.connections.closeConnection(connectionId)
  },
  [ConnectionCommandKind.CheckNewConnection]: (host, service, server) => {
    lastCheckId -= 1
    const connectionId = lastCheckId
    checkServer(host, service, server).then(end => {
      if (end !== ProbeEnd.Answered) return feedConnections(host, service, server, { kind: ConnectionEventKind.OpenFailed })
      ;[ConnectionEventKind.Opened, ConnectionEventKind.Progressed, ConnectionEventKind.Closed].forEach(kind =>
        feedConnections(host, service, server, { kind, connectionId } as ConnectionEvent))
    }).catch(error => host.logger.error('connection check failed', { server: server.place.name, reason: String(error) }))
  },
  [ConnectionCommandKind.ReportServerFailure]: (host, service, server) => {
    host.logger.warn('server does not answer on new connections', { service: service.rule.name, server: server.place.name })
    feedHealth(host, service, { kind: HealthEventKind.Failed, server: server.place.name })
  }
}
