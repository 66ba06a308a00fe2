// Passes events of the exchanges with servers to server selection, server health and probing.
import type { IncomingMessage } from 'node:http'
import { ReportSource, type LoadReport } from '@siskinbeam/probing/loadReport'
import { ProbingEventKind, stepProbing, type ProbingCommand, type ProbingEvent } from '@siskinbeam/probing/stepProbing'
import { ChoiceEventKind, type ChoiceEvent } from '@siskinbeam/server-choice/choiceState'
import { parseLoadReport } from '@siskinbeam/server-choice/loadReportHeader'
import { stepServerChoice } from '@siskinbeam/server-choice/stepServerChoice'
import { HealthCommandKind, HealthEventKind, type HealthCommand, type HealthEvent, type ServerStateHeaders } from '@siskinbeam/server-health/healthState'
import { stepServerHealth } from '@siskinbeam/server-health/stepServerHealth'
import type { EntryHost } from '../entryHost.js'
import type { ServerRuntime, ServiceRuntime } from './serviceRuntime.js'

/** Passes an event to server selection. */
export function handleChoiceEvent (host: EntryHost, service: ServiceRuntime, event: ChoiceEvent): void {
  stepServerChoice({ state: service.choice, event, now: host.now() })
}

/** Passes an event to server health and runs the resulting commands. */
export function handleHealthEvent (host: EntryHost, service: ServiceRuntime, event: HealthEvent): void {
  stepServerHealth({ state: service.health, event, now: host.now() }).forEach(command =>
    (healthCommandHandlers[command.kind] as (host: EntryHost, service: ServiceRuntime, command: HealthCommand) => void)(host, service, command))
}

/** Passes an event to probing and runs the resulting commands. */
export function handleProbingEvent (host: EntryHost, service: ServiceRuntime, event: ProbingEvent): void {
  const commands = stepProbing({ state: service.probing, event, now: host.now(), random: host.random, takeBudget: host.takeMeasuringBudget })
  commands.forEach((command: ProbingCommand) => host.runProbingCommand(service, command))
}

type HealthCommandHandlers = { [Kind in HealthCommandKind]: (host: EntryHost, service: ServiceRuntime, command: Extract<HealthCommand, { kind: Kind }>) => void }

const healthCommandHandlers: HealthCommandHandlers = {
  [HealthCommandKind.StopSending]: (host, service, { server, sign }) => {
    host.logger.info('server is shutting down; no new requests are sent to it', { service: service.configuration.name, server, sign })
    service.servers.get(server)?.connections.closeIdle()
  },
  [HealthCommandKind.Eject]: (host, service, { server, reason, untilMilliseconds }) => {
    host.metrics.count('ejections_total')
    host.logger.info('server ejected', { service: service.configuration.name, server, reason, forMilliseconds: Math.round(untilMilliseconds - host.now()) })
  },
  [HealthCommandKind.Reinstate]: (host, service, { server }) => host.logger.info('server reinstated', { service: service.configuration.name, server })
}

/** Reads the boot ID and the draining state from the headers of a server's response. */
export function parseServerStateHeaders (response: IncomingMessage): ServerStateHeaders {
  const boot = response.headers['server-boot']
  return { boot: typeof boot === 'string' ? boot : undefined, draining: response.headers['server-state'] === 'draining' }
}

/** Records the boot ID and the load report in the headers of a response to a request or a probe. */
export function recordReportHeader (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, response: IncomingMessage, source: ReportSource): void {
  const { boot } = parseServerStateHeaders(response)
  if (boot !== undefined) server.boot = boot
  const report = parseLoadReport(response.headers['endpoint-load-metrics'] as string | undefined)
  if (report !== undefined) recordLoadReport(host, service, server.configuration.name, report, source, 0)
}

/** Records a load report of a server or a peer. */
export function recordLoadReport (host: EntryHost, service: ServiceRuntime, server: string, report: LoadReport, source: ReportSource, ageMilliseconds: number): void {
  handleChoiceEvent(host, service, { kind: ChoiceEventKind.Reported, server, report, source, ageMilliseconds })
  handleProbingEvent(host, service, { kind: ProbingEventKind.Reported, server, report, source })
}

/** Records that a request is about to be written to a server. */
export function recordSend (host: EntryHost, service: ServiceRuntime, server: ServerRuntime): void {
  handleHealthEvent(host, service, { kind: HealthEventKind.Sent, server: server.configuration.name })
}

/** Records that a server rejected a request before starting it. */
export function recordRejection (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, response: IncomingMessage): void {
  handleChoiceEvent(host, service, { kind: ChoiceEventKind.Shed, server: server.configuration.name })
  recordReportHeader(host, service, server, response, ReportSource.Response)
  handleHealthEvent(host, service, { kind: HealthEventKind.Responded, server: server.configuration.name, signs: parseServerStateHeaders(response) })
}
