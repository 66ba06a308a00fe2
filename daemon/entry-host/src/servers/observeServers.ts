// Passes what happens between this host and a server to the decision modules that learn from it.
import type { IncomingMessage } from 'node:http'
import { ReportSource, type LoadReport } from '@siskinbeam/probing/loadReport'
import { ProbingEventKind, stepProbing, type ProbingCommand, type ProbingEvent } from '@siskinbeam/probing/stepProbing'
import { ChoiceEventKind, type ChoiceEvent } from '@siskinbeam/server-choice/choiceState'
import { parseLoadReport } from '@siskinbeam/server-choice/loadReportHeader'
import { stepServerChoice } from '@siskinbeam/server-choice/stepServerChoice'
import { HealthCommandKind, HealthEventKind, type HealthCommand, type HealthEvent, type ServerSigns } from '@siskinbeam/server-health/healthState'
import { stepServerHealth } from '@siskinbeam/server-health/stepServerHealth'
import type { EntryHost } from '../entryHost.js'
import type { ServerRuntime, ServiceRuntime } from './serviceRuntime.js'

/** Steps server choice. */
export function feedChoice (host: EntryHost, service: ServiceRuntime, event: ChoiceEvent): void {
  stepServerChoice({ state: service.choice, event, now: host.now() })
}

/** Steps server health and does what it asks for. */
export function feedHealth (host: EntryHost, service: ServiceRuntime, event: HealthEvent): void {
  stepServerHealth({ state: service.health, event, now: host.now() }).forEach(command =>
    (healthCommands[command.kind] as (host: EntryHost, service: ServiceRuntime, command: HealthCommand) => void)(host, service, command))
}

/** Steps probing and starts the measurements that it asks for. */
export function feedProbing (host: EntryHost, service: ServiceRuntime, event: ProbingEvent): void {
  const commands = stepProbing({ state: service.probing, event, now: host.now(), random: host.random, takeBudget: host.takeMeasuringBudget })
  commands.forEach((command: ProbingCommand) => host.measure(service, command))
}

type HealthCommandHandlers = { [Kind in HealthCommandKind]: (host: EntryHost, service: ServiceRuntime, command: Extract<HealthCommand, { kind: Kind }>) => void }

const healthCommands: HealthCommandHandlers = {
  [HealthCommandKind.StopSending]: (host, service, { server, sign }) => {
    host.logger.info('server leaves', { service: service.rule.name, server, sign })
    service.servers.get(server)?.connections.closeIdle()
  },
  [HealthCommandKind.Eject]: (host, service, { server, reason, untilMilliseconds }) => {
    host.metrics.count('ejections_total')
    host.logger.info('server ejected', { service: service.rule.name, server, reason, forMilliseconds: Math.round(untilMilliseconds - host.now()) })
  },
  [HealthCommandKind.Reinstate]: (host, service, { server }) => host.logger.info('server reinstated', { service: service.rule.name, server })
}

/** Reads what a server says of itself. */
export function readSigns (answer: IncomingMessage): ServerSigns {
  const boot = answer.headers['server-boot']
  return { boot: typeof boot === 'string' ? boot : undefined, draining: answer.headers['server-state'] === 'draining' }
}

/** Takes over the load report of an answer or a probe. */
export function noteReport (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, answer: IncomingMessage, source: ReportSource): void {
  const { boot } = readSigns(answer)
  if (boot !== undefined) server.boot = boot
  const report = parseLoadReport(answer.headers['endpoint-load-metrics'] as string | undefined)
  if (report !== undefined) noteLoad(host, service, server.place.name, report, source, 0)
}

/** Takes over a load report. */
export function noteLoad (host: EntryHost, service: ServiceRuntime, server: string, report: LoadReport, source: ReportSource, ageMilliseconds: number): void {
  feedChoice(host, service, { kind: ChoiceEventKind.Reported, server, report, source, ageMilliseconds })
  feedProbing(host, service, { kind: ProbingEventKind.Reported, server, report, source })
}

/** A request is about to be written to a server. */
export function noteSent (host: EntryHost, service: ServiceRuntime, server: ServerRuntime): void {
  feedHealth(host, service, { kind: HealthEventKind.Sent, server: server.place.name })
}

/** A server refused a request before its start. */
export function noteShed (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, answer: IncomingMessage): void {
  feedChoice(host, service, { kind: ChoiceEventKind.Shed, server: server.place.name })
  noteReport(host, service, server, answer, ReportSource.Response)
  feedHealth(host, service, { kind: HealthEventKind.Responded, server: server.place.name, signs: readSigns(answer) })
}
