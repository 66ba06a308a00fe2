// Servers that want no requests from this host for a time: a 503 with `not-started: true` may say for how long in `server-pause`, in
// seconds. The pause ends early only with another start of the server.
import type { IncomingMessage } from 'node:http'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { readServerWeight } from '@siskinbeam/server-health/readServerWeight'
import { findPauseEnd, recordPause } from '@siskinbeam/server-notices/serverNotices'
import type { EntryHost } from '../entryHost.js'
import type { ErrorResponse } from '../requestPath/errorResponse.js'
import type { ServerRuntime, ServiceRuntime } from './serviceRuntime.js'

/** Records the pause that a rejection names. Returns whether it names one. */
export function recordNamedPause (host: EntryHost, service: ServiceRuntime, server: ServerRuntime, response: IncomingMessage): boolean {
  const text = response.headers['server-pause']
  if (text === undefined) return false
  const { name } = server.configuration
  if (typeof text !== 'string' || !/^\d{1,15}(\.\d{1,15})?$/.test(text)) {
    // One line for each start of a server bounds the log.
    if (!service.reportedPauses.has(formatKey(server))) host.logger.warn('server notice ignored', { service: service.configuration.name, server: name, code: ResultCode.ServerNoticeInvalid, header: 'server-pause' })
    service.reportedPauses.add(formatKey(server))
    return false
  }
  const milliseconds = Number(text) * 1_000
  recordPause(service.notices, { server: formatKey(server), milliseconds, now: host.now(), random: host.random })
  host.metrics.count('server_pauses_total')
  host.logger.info('server pause', { service: service.configuration.name, server: name, milliseconds })
  return true
}

/** Returns the time until the pause of a server ends, in milliseconds; undefined if there is none. */
export function readPauseMilliseconds (host: EntryHost, { notices }: ServiceRuntime, server: ServerRuntime): number | undefined {
  const endsAt = findPauseEnd(notices, formatKey(server), host.now())
  return endsAt === undefined ? undefined : endsAt - host.now()
}

/** Returns the share of normal traffic that a server may get; 0 while it is leaving, ejected or in a pause. */
export function readAvailableWeight (host: EntryHost, service: ServiceRuntime, name: string): number {
  const server = service.servers.get(name)
  return server === undefined || readPauseMilliseconds(host, service, server) !== undefined ? 0 : readServerWeight(service.health, name, host.now())
}

/** Returns the error for a request if no server is available and at least one of them pauses; undefined otherwise. */
export function describePauses (host: EntryHost, service: ServiceRuntime): ErrorResponse | undefined {
  const times = [...service.servers.values()].map(server => readPauseMilliseconds(host, service, server)).filter(milliseconds => milliseconds !== undefined)
  if (times.length === 0 || [...service.servers.keys()].some(name => readAvailableWeight(host, service, name) > 0)) return undefined
  return { code: ResultCode.ServersPaused, message: 'the servers want no requests from this host', retryAfterMilliseconds: Math.min(...times) }
}

function formatKey ({ configuration, boot }: ServerRuntime): string {
  return `${configuration.name}@${boot}`
}
