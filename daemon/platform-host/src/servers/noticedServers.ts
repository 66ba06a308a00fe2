// Servers that have said in a response that they leave, or that they want no requests from this host for a time. Both also hold for health
// checks, which servers count like requests.
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { ResponseNotices } from '@siskinbeam/platform-adapter/serverProtocol'
import type { Random } from '@siskinbeam/random/createRandom'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { createServerNotices, findPauseEnd, isServerAvailable, recordLeaving, recordPause } from '@siskinbeam/server-notices/serverNotices'
import type { RegisteredServer } from '@siskinbeam/server-registry/serverRegistry'
import type { ContactPurpose } from './limitedServers.js'

export interface NoticedServers {
  /** Records what a response of a server says. */
  recordResponse: (server: RegisteredServer, notices: ResponseNotices, purpose: ContactPurpose) => void
  /** Whether the server may be contacted by what it has said. */
  isAvailable: (server: RegisteredServer) => boolean
  /** Returns the time until the first pause of these servers ends; undefined if none of them pauses. */
  findReturnMilliseconds: (servers: RegisteredServer[]) => number | undefined
  /** Lists the servers that leave or pause, for the dump. */
  list: () => Array<{ server: string, isLeaving: boolean, pauseMilliseconds: number }>
}

export interface CreateNoticedServersOptions {
  logger: Logger
  count: (metric: string) => void
  now: () => number
  random: Random
}

const maximumReportedInvalid = 1_000

/** Creates a record without servers. */
export function createNoticedServers ({ logger, count, now, random }: CreateNoticedServersOptions): NoticedServers {
  const notices = createServerNotices()
  const reportedInvalid = new Set<string>()
  const isEmpty = (): boolean => notices.leaving.size === 0 && notices.pauses.size === 0
  const reportInvalid = (server: RegisteredServer, header: string): void => {
    const key = formatKey(server)
    if (reportedInvalid.has(key) || reportedInvalid.size >= maximumReportedInvalid) return
    reportedInvalid.add(key)
    logger.warn('server notice ignored', { server: server.id, code: ResultCode.ServerNoticeInvalid, header })
  }

  return {
    recordResponse: (server, { isLeaving, pauseMilliseconds, invalidHeader }, source) => {
      if (isLeaving && recordLeaving(notices, formatKey(server))) {
        count('server_leaving_notices_total')
        logger.info('server leaving', { server: server.id, service: server.service, source })
      }
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
    list: () => [...new Set([...notices.leaving, ...notices.pauses.keys()])].map(server => ({
      server, isLeaving: notices.leaving.has(server), pauseMilliseconds: Math.round(Math.max(0, (notices.pauses.get(server) ?? 0) - now()))
    }))
  }
}

/** Identifies one start of a server. */
function formatKey ({ id, boot }: RegisteredServer): string {
  return `${id}@${boot}`
}
