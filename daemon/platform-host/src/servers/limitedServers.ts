// Servers that have named a limit for the requests of all entry hosts together: records what their responses name, and what this
// host sends to them.
import { createLimitKnowledge, findLimit, forgetEndedStarts, LimitChange, observeLimit, StartState, type LimitObservation } from '@siskinbeam/shared-limits/limitKnowledge'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { LimitNaming, type NamedLimit } from '@siskinbeam/platform-adapter/serverProtocol'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { RegisteredServer } from '@siskinbeam/server-registry/serverRegistry'
import { formatStartKey, isStartKey, readBoot, readId } from './startKey.js'

/** What a host contacts a server for. */
export enum ContactPurpose {
  HealthCheck = 'health-check',
  FirstSend = 'first-send',
  /** A retry or a hedge. */
  FurtherSend = 'further-send'
}

export interface RecordResponseOptions {
  server: RegisteredServer
  purpose: ContactPurpose
  limit: NamedLimit
  /** When the request was sent, in milliseconds of the monotonic clock. */
  sentAt: number
  /** Whether a response that names no limit shows that the server has none. */
  isConclusive: boolean
}

/** An observation of a server's limit, as sent to another host. */
export interface ReportedLimit {
  /** Key of one start of the server. */
  server: string
  /** Null if the server names no limit any more. */
  requestsPerSecond: number | null
  ageMilliseconds: number
}

export interface LimitedServers {
  /** Records a response of a server. */
  recordResponse: (options: RecordResponseOptions) => void
  /** Records that this host is about to contact a server. */
  recordContact: (server: RegisteredServer, purpose: ContactPurpose) => void
  /** Key of one start of a server. */
  keyOf: (server: RegisteredServer) => string
  /** Returns the limit of a server and when it was last observed; undefined if it has none. */
  find: (server: RegisteredServer) => ObservedLimit | undefined
  findByKey: (key: string) => ObservedLimit | undefined
  /** Returns the registered server with a key; undefined if that start of the server is not registered. */
  findRegistered: (key: string) => RegisteredServer | undefined
  /** Lists the keys of the servers with a limit. */
  listKeys: () => string[]
  /** Returns what this host has recently observed to change, for a host that may not know it yet. */
  listRecentChanges: () => ReportedLimit[]
  /** Returns what is known of all limits, for another host. */
  describeAll: () => ReportedLimit[]
  /** Returns what this host has observed since the last call of this function. */
  takeReports: () => ReportedLimit[]
  /** Applies observations of another host. Those that can't be are ignored. */
  applyReports: (reports: unknown, host: string) => void
  /** Forgets the starts of servers that have ended. Must be called again and again while any server has a limit. */
  forgetEnded: () => void
  /** Increases whenever a limit is named, changed or ended. */
  revision: () => number
  /** Lists the servers with a limit, for the dump. */
  list: () => LimitedServer[]
}

export interface ObservedLimit {
  requestsPerSecond: number
  /** When it was last observed, in milliseconds of the monotonic clock. */
  at: number
}

export interface LimitedServer {
  server: string
  requestsPerSecond: number
  ageMilliseconds: number
}

export interface CreateLimitedServersOptions {
  logger: Logger
  count: (metric: string) => void
  now: () => number
  /** Returns the registered server with an ID. */
  findServer: (id: string) => RegisteredServer | undefined
  /** Called for reports of another host that are ignored. */
  onInvalidReport: (host: string) => void
  /** Called after a limit has been named, changed or ended. */
  onChange: () => void
}

/** Other hosts learn of a change within this time by the calls that they make anyway. */
const recentChangeMilliseconds = 1_000
const maximumRecentChanges = 8

/** Creates an empty record. */
export function createLimitedServers ({ logger, count, now, findServer, onInvalidReport, onChange }: CreateLimitedServersOptions): LimitedServers {
  const knowledge = createLimitKnowledge()
  const reportedInvalid = new Set<string>()
  const unreported = new Set<string>()
  /** When this host observed the latest change of a server. */
  const changedAt = new Map<string, number>()
  let revision = 0

  const observe = (observation: LimitObservation, source: string): LimitChange => {
    if (stateOf(observation.server) === StartState.Replaced) return LimitChange.None
    const previous = findLimit(knowledge, observation.server)?.requestsPerSecond
    const change = observeLimit(knowledge, observation)
    if (change === LimitChange.None) return change
    forgetEnded()
    logger.info(`server limit ${change}`, { server: readId(observation.server), requestsPerSecond: observation.requestsPerSecond, previous, source })
    revision += 1
    onChange()
    return change
  }
  const observeResponse = (observation: LimitObservation, purpose: ContactPurpose): void => {
    if (observe(observation, purpose) === LimitChange.None) return
    unreported.add(observation.server)
    changedAt.set(observation.server, now())
  }
  const findRegistered = (key: string): RegisteredServer | undefined => {
    const server = findServer(readId(key))
    return server !== undefined && formatStartKey(server) === key ? server : undefined
  }
  const stateOf = (key: string): StartState => {
    const registered = findServer(readId(key))
    if (registered === undefined) return StartState.Absent
    const boot = readBoot(key)
    if (boot === registered.boot) return StartState.Registered
    return boot < registered.boot ? StartState.Replaced : StartState.Absent
  }
  const forgetEnded = (): void => forgetEndedStarts(knowledge, stateOf, now())
  const describe = (key: string): ReportedLimit | undefined => {
    const known = knowledge.observations.get(key)
    return known === undefined ? undefined : { server: key, requestsPerSecond: known.requestsPerSecond ?? null, ageMilliseconds: Math.round(now() - known.at) }
  }
  const describeEach = (keys: Iterable<string>): ReportedLimit[] => [...keys].map(describe).filter(report => report !== undefined)
  const reportInvalid = (server: string, text: string): void => {
    if (reportedInvalid.has(server)) return
    reportedInvalid.add(server)
    logger.warn('server limit ignored', { server: readId(server), code: ResultCode.ServerLimitInvalid, limit: text })
  }

  return {
    recordResponse: ({ server, purpose, limit, sentAt, isConclusive }) => {
      const key = formatStartKey(server)
      if (limit.naming === LimitNaming.PerSecond) observeResponse({ server: key, requestsPerSecond: limit.requestsPerSecond, at: now() }, purpose)
      else if (limit.naming === LimitNaming.Invalid) reportInvalid(key, limit.text)
      else if (isConclusive) observeResponse({ server: key, requestsPerSecond: undefined, at: sentAt }, purpose)
    },
    recordContact: (server, purpose) => {
      if (knowledge.observations.size === 0 || findLimit(knowledge, formatStartKey(server)) === undefined) return
      count(`limited_server_contacts_total{purpose="${purpose}"}`)
      logger.info('limited server contacted', { server: server.id, purpose })
    },
    keyOf: formatStartKey,
    // Called for each server of a service at each request, nearly always without any limit.
    find: server => knowledge.observations.size === 0 ? undefined : findLimit(knowledge, formatStartKey(server)),
    findByKey: key => findLimit(knowledge, key),
    findRegistered,
    listKeys: () => [...knowledge.observations.values()].filter(({ requestsPerSecond }) => requestsPerSecond !== undefined).map(({ server }) => server),
    listRecentChanges: () => {
      changedAt.forEach((at, key) => { if (now() - at > recentChangeMilliseconds) changedAt.delete(key) })
      return describeEach([...changedAt.keys()].slice(-maximumRecentChanges))
    },
    describeAll: () => describeEach(knowledge.observations.keys()),
    takeReports: () => {
      const reports = describeEach(unreported)
      unreported.clear()
      return reports
    },
    applyReports: (reports, host) => {
      const listed: unknown[] = reports === undefined ? [] : Array.isArray(reports) ? reports : [undefined]
      const valid = listed.filter(isReportedLimit)
      if (valid.length < listed.length) onInvalidReport(host)
      valid.forEach(({ server, requestsPerSecond, ageMilliseconds }) => {
        observe({ server, requestsPerSecond: requestsPerSecond ?? undefined, at: now() - ageMilliseconds }, host)
      })
    },
    forgetEnded,
    revision: () => revision,
    list: () => [...knowledge.observations.values()].flatMap(({ server, requestsPerSecond, at }) =>
      requestsPerSecond === undefined ? [] : [{ server: readId(server), requestsPerSecond, ageMilliseconds: Math.round(now() - at) }])
  }
}

function isReportedLimit (limit: unknown): limit is ReportedLimit {
  const { server, requestsPerSecond, ageMilliseconds } = (limit ?? {}) as Partial<ReportedLimit>
  const isLimit = requestsPerSecond === null || (typeof requestsPerSecond === 'number' && requestsPerSecond >= 0)
  return isStartKey(server) && isLimit && typeof ageMilliseconds === 'number' && ageMilliseconds >= 0
}
