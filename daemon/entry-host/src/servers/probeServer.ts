// Probes a server for its load and its boot ID.
import { request as sendRequest } from 'node:http'
import { describeViolation, expectResponse } from '@siskinbeam/message-heads/guardSocket'
import { discardBody } from '@siskinbeam/stream-end/discardBody'
import { probeCost } from '@siskinbeam/probing/stepProbing'
import { ReportSource } from '@siskinbeam/probing/loadReport'
import { setTimeoutAfterPoll } from '@siskinbeam/processes/setTimeoutAfterPoll'
import { HealthEventKind } from '@siskinbeam/server-health/healthState'
import type { EntryHost } from '../entryHost.js'
import { handleHealthEvent, recordReportHeader, parseServerStateHeaders } from './observeServers.js'
import type { ServerRuntime, ServiceRuntime } from './serviceRuntime.js'

export enum ProbeResult {
  Succeeded = 'answered',
  /** The server refused the connection. */
  Refused = 'refused',
  /** No response within the timeout, a broken connection, or an exhausted budget. */
  Unanswered = 'unanswered'
}

const probePath = '/.load'
// A server that was paused reads probes late; this header tells it when they were sent.
const sentAtHeader = 'siskinbeam-sent-at'
const maximumHeadBytes = 32_768
const probeTimeoutMilliseconds = 500
/** The head of a response says all that a probe asks for. */
const maximumBodyBytes = 16_384

/** Probes outside the probing schedule. If the measuring budget is exhausted, the result is `Unanswered`. */
export function probeOnNewConnection (host: EntryHost, service: ServiceRuntime, server: ServerRuntime): Promise<ProbeResult> {
  return host.takeMeasuringBudget(probeCost) ? probeServer(host, service, server, true) : Promise.resolve(ProbeResult.Unanswered)
}

/** Sends one probe. The caller must have charged its cost to the measuring budget. The promise never rejects. */
export function probeServer (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, newConnection: boolean): Promise<ProbeResult> {
  const sentAt = host.now()
  const { name } = server.configuration
  host.metrics.count('probes_total')
  return new Promise(resolve => {
    const outgoing = sendRequest({
      host: server.host,
      port: server.port,
      path: probePath,
      agent: newConnection ? false : server.connections,
      headers: { [sentAtHeader]: String(host.epochNow()) },
      ...(host.outgoingAddress === undefined ? {} : { localAddress: host.outgoingAddress })
    })
    const timer = setTimeoutAfterPoll(() => outgoing.destroy(), probeTimeoutMilliseconds)
    outgoing.on('socket', socket => {
      expectResponse(socket, { maximumHeadBytes, hasBody: true, onViolation: violation => { outgoing.destroy(new Error(describeViolation(violation))) } })
      if (!newConnection) server.connections.identify(socket)
    })
    outgoing.on('response', response => {
      discardBody(response, { maximumBytes: maximumBodyBytes, milliseconds: probeTimeoutMilliseconds })
      recordReportHeader(host, service, server, response, ReportSource.Probe)
      handleHealthEvent(host, service, { kind: HealthEventKind.ProbeResponded, server: name, signs: parseServerStateHeaders(response), newConnection, sentAt })
      resolve(ProbeResult.Succeeded)
    })
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code !== 'ECONNREFUSED') return resolve(ProbeResult.Unanswered)
      handleHealthEvent(host, service, { kind: HealthEventKind.ConnectionRefused, server: name })
      resolve(ProbeResult.Refused)
    })
    outgoing.on('close', () => {
      clearTimeout(timer)
      resolve(ProbeResult.Unanswered)
    })
    outgoing.end()
  })
}
