// Probes a server for its load and its boot.
import { request as sendRequest } from 'node:http'
import { probeCost } from '@siskinbeam/probing/stepProbing'
import { ReportSource } from '@siskinbeam/probing/loadReport'
import { HealthEventKind } from '@siskinbeam/server-health/healthState'
import type { EntryHost } from '../entryHost.js'
import { feedHealth, noteReport, readSigns } from './observeServers.js'
import type { ServerRuntime, ServiceRuntime } from './serviceRuntime.js'

/** How a probe ended. */
export enum ProbeEnd {
  Answered = 'answered',
  Refused = 'refused',
  /** No answer in time, or the connection broke. */
  Unanswered = 'unanswered'
}

const probePath = '/.load'
// A server that was paused reads probes late; the time of sending lets it see them as they were sent.
const sentAtHeader = 'siskinbeam-sent-at'
const probeTimeoutMilliseconds = 500

/** Probes for a check outside the schedule of probing. Without room in the budget the probe counts as unanswered. */
export function checkServer (host: EntryHost, service: ServiceRuntime, server: ServerRuntime): Promise<ProbeEnd> {
  return host.takeMeasuringBudget(probeCost) ? probeServer(host, service, server, true) : Promise.resolve(ProbeEnd.Unanswered)
}

/** Probes once; the cost is booked by the caller. The promise never rejects. */
export function probeServer (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, newConnection: boolean): Promise<ProbeEnd> {
  const sentAt = host.now()
  const { name } = server.place
  host.metrics.count('probes_total')
  return new Promise(resolve => {
    const outgoing = sendRequest({
      host: server.host,
      port: server.port,
      path: probePath,
      agent: newConnection ? false : server.connections,
      timeout: probeTimeoutMilliseconds,
      headers: { [sentAtHeader]: String(host.epochNow()) },
      ...(host.outgoingAddress === undefined ? {} : { localAddress: host.outgoingAddress })
    })
    outgoing.on('socket', socket => { if (!newConnection) server.connections.identify(socket) })
    outgoing.on('response', answer => {
      answer.on('error', () => {})
      answer.resume()
      noteReport(host, service, server, answer, ReportSource.Probe)
      feedHealth(host, service, { kind: HealthEventKind.ProbeAnswered, server: name, signs: readSigns(answer), newConnection, sentAt })
      resolve(ProbeEnd.Answered)
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code !== 'ECONNREFUSED') return resolve(ProbeEnd.Unanswered)
      feedHealth(host, service, { kind: HealthEventKind.ConnectionRefused, server: name })
      resolve(ProbeEnd.Refused)
    })
    outgoing.on('close', () => resolve(ProbeEnd.Unanswered))
    outgoing.end()
  })
}
