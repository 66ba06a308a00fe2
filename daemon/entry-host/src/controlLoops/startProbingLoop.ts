// Periodically drives probing, the detection of unresponsive connections, and admission, which drops waiting requests
// whose deadline has passed.
import { ConnectionEventKind } from '@siskinbeam/connection-shares/connectionTypes'
import { AdmissionEventKind } from '@siskinbeam/admission/admissionTypes'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { sleep, type ProcessBody } from '@siskinbeam/processes/channels'
import { superviseProcess } from '@siskinbeam/processes/superviseProcess'
import type { AgedReport } from '@siskinbeam/probing/loadReport'
import { ProbingCommandKind, ProbingEventKind, tickMilliseconds, type ProbingCommand } from '@siskinbeam/probing/stepProbing'
import { readServerWeight } from '@siskinbeam/server-health/readServerWeight'
import type { EntryHost } from '../entryHost.js'
import { handleAdmissionEvent } from '../requestPath/admitRequest.js'
import { handleProbingEvent } from '../servers/observeServers.js'
import { handleConnectionEvent } from '../servers/watchConnections.js'
import { readPauseMilliseconds } from '../servers/pausedServers.js'
import { probeServer } from '../servers/probeServer.js'
import type { ServiceRuntime } from '../servers/serviceRuntime.js'

export interface StartProbingLoopOptions {
  host: EntryHost
  logger: Logger
  /** Names of live peers of this data centre. */
  listLocalPeers: () => string[]
}

/** Interval between searches for servers of weight 0, which get no traffic. Not done at each tick, since a search visits each server. */
const zeroWeightScanIntervalMilliseconds = 500

/** Starts the loop. */
export function startProbingLoop ({ host, logger, listLocalPeers }: StartProbingLoopOptions): { stop: () => void } {
  let lastScanAt = -Infinity
  return superviseProcess({
    name: 'measuring',
    logger,
    body: function * (): ProcessBody {
      while (true) {
        const now = host.now()
        const isScanDue = now - lastScanAt >= zeroWeightScanIntervalMilliseconds
        if (isScanDue) lastScanAt = now
        const peers = listLocalPeers()
        host.activeBundle()?.services.forEach(service => {
          service.servers.forEach(server => {
            if (server.openSends.size > 0) handleConnectionEvent(host, service, server, { kind: ConnectionEventKind.Ticked })
          })
          if (service.admission.queue.length > 0) handleAdmissionEvent(host, service, { kind: AdmissionEventKind.Ticked })
          const zeroWeightServers = isScanDue ? listZeroWeightServers(service, now) : []
          if (zeroWeightServers.length > 0 || service.probing.unsharedReports.size > 0) handleProbingEvent(host, service, { kind: ProbingEventKind.Tick, zeroWeightServers, peers })
        })
        yield sleep(tickMilliseconds)
      }
    }
  })
}

function listZeroWeightServers (service: ServiceRuntime, now: number): string[] {
  return [...service.servers.keys()].filter(name => readServerWeight(service.health, name, now) === 0)
}

/** Runs a command of probing. */
export function runProbingCommand (host: EntryHost, service: ServiceRuntime, command: ProbingCommand, shareReports: (peer: string, service: string, reports: AgedReport[]) => void): void {
  const handlers: { [Kind in ProbingCommandKind]: (command: Extract<ProbingCommand, { kind: Kind }>) => void } = {
    [ProbingCommandKind.Probe]: ({ server, newConnection }) => {
      const runtime = service.servers.get(server)
      if (runtime !== undefined && readPauseMilliseconds(host, service, runtime) === undefined) probeServer(host, service, runtime, newConnection).catch(error => host.logger.error('probe failed', { server, reason: String(error) }))
    },
    [ProbingCommandKind.ShareReports]: ({ peer, reports }) => shareReports(peer, service.configuration.name, reports)
  }
  ;(handlers[command.kind] as (command: ProbingCommand) => void)(command)
}
