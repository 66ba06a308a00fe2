// Servers that have said in a response that they leave, or that they want no requests from this host for a time. Both also hold for health
// checks, which servers count like requests. Hosts of a data centre tell each other which servers leave; a pause is for one host only.
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { ResponseNotices } from '@siskinbeam/platform-adapter/serverProtocol'
import type { Random } from '@siskinbeam/random/createRandom'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { createServerNotices, findPauseEnd, isServerAvailable, recordLeaving, recordPause } from '@siskinbeam/server-notices/serverNotices'
import type { RegisteredServer } from '@siskinbeam/server-registry/serverRegistry'
import { createLeavingReports, type LeavingReports } from './leavingReports.js'
import type { ContactPurpose } from './limitedServers.js'
import { formatStartKey, isStartKey, readId } from './startKey.js'

export interface NoticedServers {
  /** Records what a response of a server says. */
  recordResponse: (server: RegisteredServer, notices: ResponseNotices, purpose: ContactPurpose) => void
  /** Whether the server may be contacted by what it has said. */
  isAvailable: (server: RegisteredServer) => boolean
  /** Returns the time until the first pause of these servers ends; undefined if none of them pauses. */
  findReturnMilliseconds: (servers: RegisteredServer[]) => number | undefined
  /** Applies what another host says of servers that leave, and returns their keys. Entries that are no keys are ignored. */
  applyLeaving: (servers: unknown, host: string) => string[]
  /** What this host says of servers that leave to others. */
  leavingReports: LeavingReports
  /** Lists the servers that leave or pause, for the dump. */
  list: () => Array<{ server: string, isLeaving: boolean, pauseMilliseconds: number }>
}

export interface CreateNoticedServersOptions {
  logger: Logger
  count: (metric: string) => void
  now: () => number
  random: Random
  /** Returns the registered server with an ID. */
  findServer: (id: string) => RegisteredServer | undefined
  /** Called for a report of another host that is ignored in part. */
  onInvalidReport: (host: string) => void
  /** Called when another server becomes known to leave. */
  onLeaving: () => void
}

const maximumReportedInvalid = 1_000

/** Creates a record without servers. */
export function createNoticedServers ({ logger, count, now, random, findServer, onInvalidReport, onLeaving }: CreateNoticedServersOptions): NoticedServers {
  const notices = createServerNotices()
  const reportedInvalid = new Set<string>()
  const leavingReports = createLeavingReports({ isRegistered: key => isRegistered(key), now })
  const isRegistered = (key: string): boolean => {
    const server = findServer(readId(key))
    return server !== undefined && formatStartKey(server) === key
  }
  const addLeaving = (key: string, source: string): boolean => {
    if (!recordLeaving(notices, key)) return false
    leavingReports.add(key)
    logger.info('server leaving', { server: key, source })
    onLeaving()
    return true
  }
  const isEmpty = (): boolean => notices.leaving.size === 0 && notices.pauses.size === 0
  const reportInvalid = (server: RegisteredServer, header: string): void => {
    const key = formatStartKey(server)
    if (reportedInvalid.has(key) || reportedInvalid.size >= maximumReportedInvalid) return
    reportedInvalid.add(key)
    logger.warn('server notice ignored', { server: server.id, code: ResultCode.ServerNoticeInvalid, header })
  }

  return {
    recordResponse: (server, { isLeaving, pauseMilliseconds, invalidHeader }, source) => {
      if (isLeaving && addLeaving(formatStartKey(server), source)) count('server_leaving_notices_total')
      if (pauseMilliseconds !== undefined) {
        recordPause(notices, { server: formatStartKey(server), milliseconds: pauseMilliseconds, now: now(), random })
        count('server_pauses_total')
        logger.info('server pause', { server: server.id, service: server.service, milliseconds: pauseMilliseconds, source })
      }
      if (invalidHeader !== undefined) reportInvalid(server, invalidHeader)
    },
    isAvailable: server => isEmpty() || isServerAvailable(notices, formatStartKey(server), now()),
    findReturnMilliseconds: servers => {
      const ends = isEmpty() ? [] : servers.map(server => findPauseEnd(notices, formatStartKey(server), now())).filter(end => end !== undefined)
      return ends.length === 0 ? undefined : Math.max(0, Math.min(...ends) - now())
    },
    applyLeaving: (servers, host) => {
      const listed: unknown[] = servers === undefined ? [] : Array.isArray(servers) ? servers : [undefined]
      const keys = listed.filter(isStartKey)
      if (keys.length < listed.length) onInvalidReport(host)
      keys.forEach(key => addLeaving(key, host))
      return keys
    },
    leavingReports,
    list: () => [...new Set([...notices.leaving, ...notices.pauses.keys()])].map(server => ({
      server, isLeaving: notices.leaving.has(server), pauseMilliseconds: Math.round(Math.max(0, (notices.pauses.get(server) ?? 0) - now()))
    }))
  }
}
