// Probes a server for its load and its boot.
import { request as sendRequest } from 'node:http'
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
const probeTimeoutMilliseconds = 500

/** Probes once. The promise never rejects. */
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
