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
  /** Called when another server becomes known to leave. */
  onLeaving: () => void
}

const maximumReportedInvalid = 1_000
/** Bounds what another host can make this one keep. */
const maximumKeyLength = 300

/** Creates a record without servers. */
export function createNoticedServers ({ logger, count, now, random, findServer, onLeaving }: CreateNoticedServersOptions): NoticedServers {
  const notices = createServerNotices()
  const reportedInvalid = new Set<string>()
  const leavingReports = createLeavingReports({ isRegistered: key => isRegistered(key), now })
  const isRegistered = (key: string): boolean => {
    const server = findServer(key.slice(0, key.lastIndexOf('@')))
    return server !== undefined && formatKey(server) === key
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
    const key = formatKey(server)
    if (reportedInvalid.has(key) || reportedInvalid.size >= maximumReportedInvalid) return
    reportedInvalid.add(key)
    logger.warn('server notice ignored', { server: server.id, code: ResultCode.ServerNoticeInvalid, header })
  }

  return {
    recordResponse: (server, { isLeaving, pauseMilliseconds, invalidHeader }, source) => {
      if (isLeaving && addLeaving(formatKey(server), source)) count('server_leaving_notices_total')
      if (pauseMilliseconds !== undefined) {
        recordPause(notices, { server: formatKey(server), milliseconds: pauseMilliseconds, now: now(), random })
        count('server_pauses_total')
        logger.info('server pause', { server: server.id, service: server.service, milliseconds: pauseMilliseconds, source })
      }
      if (invalidHeader !== undefined) reportInvalid(server, invalidHeader)
    },
    isAvailable: server => isEmpty() || isServerAvailable(notices, formatKey(server), now()),
    findReturnMilliseconds: servers => {
      const ends = isEmpty() ? [] : servers.map(server => findPauseEnd(notices, formatKey(server), now())).filter(end => end !== undefined)
      return ends.length === 0 ? undefined : Math.max(0, Math.min(...ends) - now())
    },
    applyLeaving: (servers, host) => {
      const keys = (Array.isArray(servers) ? servers as unknown[] : []).filter(key => typeof key === 'string' && key.length <= maximumKeyLength) as string[]
      keys.forEach(key => addLeaving(key, host))
      return keys
    },
    leavingReports,
    list: () => [...new Set([...notices.leaving, ...notices.pauses.keys()])].map(server => ({
      server, isLeaving: notices.leaving.has(server), pauseMilliseconds: Math.round(Math.max(0, (notices.pauses.get(server) ?? 0) - now()))
    }))
  }
}

/** Identifies one start of a server. */
function formatKey ({ id, boot }: RegisteredServer): string {
  return `${id}@${boot}`
}
