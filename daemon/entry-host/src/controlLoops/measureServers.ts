// Measures servers on behalf of server choice, within the budget of the bundle, and lets admission drop
// requests whose deadline passes while they wait.
import { ConnectionEventKind } from '@siskinbeam/connection-shares/connectionTypes'
import { AdmissionEventKind } from '@siskinbeam/admission/admissionTypes'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { sleep, type ProcessBody } from '@siskinbeam/processes/channels'
import { superviseProcess } from '@siskinbeam/processes/superviseProcess'
import type { AgedReport } from '@siskinbeam/probing/loadReport'
import { ProbingCommandKind, ProbingEventKind, tickMilliseconds, type ProbingCommand } from '@siskinbeam/probing/stepProbing'
import { readServerWeight } from '@siskinbeam/server-health/readServerWeight'
import type { EntryHost } from '../entryHost.js'
import { feedAdmission } from '../requestPath/admitRequest.js'
import { feedProbing } from '../servers/observeServers.js'
import { feedConnections } from '../servers/watchConnections.js'
import { probeServer } from '../servers/probeServer.js'
import type { ServiceRuntime } from '../servers/serviceRuntime.js'

export interface MeasureServersOptions {
  host: EntryHost
  logger: Logger
  /** Names of live peers of this data centre. */
  listNearPeers: () => string[]
}

/** Servers without traffic are looked for at this interval, since the search visits each server. */
const idleSearchMilliseconds = 500

/** Starts the loop. */
export function measureServers ({ host, logger, listNearPeers }: MeasureServersOptions): { stop: () => void } {
  let idleSearchedAt = -Infinity
  return superviseProcess({
    name: 'measuring',
    logger,
    body: function * (): ProcessBody {
      while (true) {
        const now = host.now()
        const searchesIdle = now - idleSearchedAt >= idleSearchMilliseconds
        if (searchesIdle) idleSearchedAt = now
        const peers = listNearPeers()
        host.activeBundle()?.services.forEach(service => {
          service.servers.forEach(server => {
            if (server.openSends.size > 0) feedConnections(host, service, server, { kind: ConnectionEventKind.Ticked })
          })
          if (service.admission.queue.length > 0) feedAdmission(host, service, { kind: AdmissionEventKind.Ticked })
          const idle = searchesIdle ? listIdle(service, now) : []
          if (idle.length > 0 || service.probing.unsharedReports.size > 0) feedProbing(host, service, { kind: ProbingEventKind.Tick, zeroWeightServers: idle, peers })
        })
        yield sleep(tickMilliseconds)
      }
    }
  })
}

function listIdle (service: ServiceRuntime, now: number): string[] {
  return [...service.servers.keys()].filter(name => readServerWeight(service.health, name, now) === 0)
}

/** Carries out a measurement. */
export function performMeasurement (host: EntryHost, service: ServiceRuntime, command: ProbingCommand, shareReports: (peer: string, service: string, reports: AgedReport[]) => void): void {
  const handlers: { [Kind in ProbingCommandKind]: (command: Extract<ProbingCommand, { kind: Kind }>) => void } = {
    [ProbingCommandKind.Probe]: ({ server, newConnection }) => {
      const runtime = service.servers.get(server)
      if (runtime !== undefined) probeServer(host, service, runtime, newConnection).catch(error => host.logger.error('probe failed', { server, reason: String(error) }))
    },
    [ProbingCommandKind.ShareReports]: ({ peer, reports }) => shareReports(peer, service.rule.name, reports)
  }
  ;(handlers[command.kind] as (command: ProbingCommand) => void)(command)
}
