// Detects unresponsive connections to a server, closes them, and checks whether the server itself still responds.
import { ConnectionCommandKind, ConnectionEventKind, type ConnectionCommand, type ConnectionEvent } from '@siskinbeam/connection-shares/connectionTypes'
import { stepConnectionHealth } from '@siskinbeam/connection-shares/stepConnectionHealth'
import { HealthEventKind } from '@siskinbeam/server-health/healthState'
import type { EntryHost } from '../entryHost.js'
import { handleHealthEvent } from './observeServers.js'
import { probeOnNewConnection, ProbeResult } from './probeServer.js'
import type { ServerRuntime, ServiceRuntime } from './serviceRuntime.js'

// Probes of the check use connections outside the agent. Their IDs are negative, so that they differ from those of the agent.
let lastProbeConnectionId = 0

/** Passes an event to the connection health of a server and runs the resulting commands. */
export function handleConnectionEvent (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, event: ConnectionEvent): void {
  stepConnectionHealth({ state: server.connectionHealth, event, now: host.now() }).forEach(command =>
    (commandHandlers[command.kind] as (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, command: ConnectionCommand) => void)(host, service, server, command))
}

type CommandHandlers = {
  [Kind in ConnectionCommandKind]: (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, command: Extract<ConnectionCommand, { kind: Kind }>) => void
}

const commandHandlers: CommandHandlers = {
  [ConnectionCommandKind.Close]: (host, service, server, { connectionId, reason }) => {
    host.metrics.count(`connections_closed_total{reason="${reason}"}`)
    host.logger.info('connection closed', { service: service.configuration.name, server: server.configuration.name, connection: connectionId, reason })
    server.connections.closeConnection(connectionId)
  },
  [ConnectionCommandKind.CheckNewConnection]: (host, service, server) => {
    lastProbeConnectionId -= 1
    const connectionId = lastProbeConnectionId
    probeOnNewConnection(host, service, server).then(result => {
      if (result !== ProbeResult.Succeeded) return handleConnectionEvent(host, service, server, { kind: ConnectionEventKind.OpenFailed })
      ;[ConnectionEventKind.Opened, ConnectionEventKind.Progressed, ConnectionEventKind.Closed].forEach(kind =>
        handleConnectionEvent(host, service, server, { kind, connectionId } as ConnectionEvent))
    }).catch(error => host.logger.error('connection check failed', { server: server.configuration.name, reason: String(error) }))
  },
  [ConnectionCommandKind.ReportServerFailure]: (host, service, server) => {
    host.logger.warn('server does not answer on new connections', { service: service.configuration.name, server: server.configuration.name })
    handleHealthEvent(host, service, { kind: HealthEventKind.Failed, server: server.configuration.name })
  }
}
