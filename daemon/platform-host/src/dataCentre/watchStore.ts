// Watches the store for this host and its followers: one process per table reads the changes by long polling. The
// processes are idle while the view is not needed. A separate check opens a connection without a call, since a pending
// long poll cannot distinguish a store without changes from an unreachable one.
import { connect } from 'node:net'
import type { StoreClient, StoreReply, StoreRow } from '@siskinbeam/platform-adapter/createStoreClient'
import { StoreOutcome } from '@siskinbeam/platform-adapter/createStoreClient'
import { parseConfiguration } from '@siskinbeam/platform-adapter/parseConfiguration'
import { parseServerRow } from '@siskinbeam/platform-adapter/parseServerRow'
import { configurationKey, Table } from '@siskinbeam/platform-adapter/wire'
import { fromPromise, sleep, take, type ProcessBody } from '@siskinbeam/processes/channels'
import { superviseProcess, type SupervisedProcess } from '@siskinbeam/processes/superviseProcess'
import { recordStoreRecovery } from '@siskinbeam/server-registry/serverRegistry'
import { splitAddress } from '@siskinbeam/settings/splitAddress'
import type { PlatformHost } from '../platformHost.js'
import { logIgnoredEntries } from './ignoredEntries.js'
import type { View } from './view.js'

export interface StoreWatch {
  /** Time at which the view was last confirmed to match the store, in milliseconds of the monotonic clock. */
  confirmedAt: () => number
  /** Time since which calls have been failing; undefined if the latest one succeeded. */
  failingSince: () => number | undefined
  start: () => void
  /** Reads the tables that have not been read yet once, without watching them. */
  load: () => void
  /** Reads the tables that are needed to serve requests once, unless they are being watched. Resolves with whether the store answered. */
  readOnce: () => Promise<boolean>
  stop: () => void
}

export interface WatchStoreOptions {
  host: PlatformHost
  view: View
  store: StoreClient
  /** Whether this host or a follower needs the view to be updated from the store. */
  isNeeded: () => boolean
  /** When another host has last had answers of the store, at the earliest, as far as this host knows. */
  confirmedElsewhereAt: () => number
  /** Called when calls start to fail. */
  onFailing: () => void
}

interface TableWatch {
  table: Table
  longPollMilliseconds: number
  version: number
  confirmedAt: number
  failingSince: number | undefined
  /** Start of the current outage; unlike failingSince, it is kept while the watch is idle, until another host has had an answer. */
  lostAt: number | undefined
  /** Whether the next call tells if the store still has the history from before an outage, and is not to be held. */
  checksHistory: boolean
  /** Start of the latest call. */
  calledAt: number
  /** Ends the call in progress, whose reply is ignored. */
  interrupt: () => void
  apply: (rows: StoreRow[], whole: boolean, version: number) => void
}

/** Duration of a long poll. An unresponsive connection is detected only when the poll ends. */
const longPollMilliseconds = 2_000
/** Crash suspects rarely change, and each poll is priced. */
const crashLongPollMilliseconds = 5_000
/** Changes in quick succession are batched for this time. */
const batchMilliseconds = 350
/** A crashing request may come again at once. */
const crashBatchMilliseconds = 50
const idlePollMilliseconds = 100
const initialRetryMilliseconds = 75
const maximumRetryMilliseconds = 800
/** Entries of servers may expire during an outage that lasts longer than this. */
const minimumOutageMilliseconds = 1_000
const connectionCheckMilliseconds = 400
/** Keeps a call that fails at once from being repeated without a pause. */
const interruptedPauseMilliseconds = 10
/** A long poll without changes confirms a table within this time. */
const recentMilliseconds = 3_000
const crashRowCheckMilliseconds = 1_000
/** Tables without which a host serves no requests. */
const initialTables = new Set([Table.Operator, Table.Servers])

/** Creates the watch, which is started separately. */
export function watchStore ({ host, view, store, isNeeded, confirmedElsewhereAt, onFailing }: WatchStoreOptions): StoreWatch {
  const { now, logger } = host
  const logIgnored = logIgnoredEntries({ logger, count: host.metrics.count, now })
  const watches: TableWatch[] = [
    {
      table: Table.Operator,
      longPollMilliseconds,
      version: 0,
      confirmedAt: -Infinity,
      failingSince: undefined,
      lostAt: undefined,
      checksHistory: false,
      calledAt: -Infinity,
      interrupt: () => {},
      apply: rows => rows.filter(({ key, deleted }) => key === configurationKey && !deleted).forEach(row => {
        const configuration = parseConfiguration(row.value)
        if (configuration === undefined) logger.error('configuration unreadable', { version: row.version })
        else view.applyConfiguration(configuration, 'store')
      })
    },
    {
      table: Table.Servers,
      longPollMilliseconds,
      version: 0,
      confirmedAt: -Infinity,
      failingSince: undefined,
      lostAt: undefined,
      checksHistory: false,
      calledAt: -Infinity,
      interrupt: () => {},
      apply: (rows, whole, version) => {
        const parsed = rows.map(parseServerRow)
        logIgnored(parsed)
        view.applyServers({ whole, era, version, changes: parsed.map(({ id, version: changedAt, server }) => ({ id, version: changedAt, server })) }, 'store')
      }
    },
    {
      table: Table.CrashSuspects,
      longPollMilliseconds: crashLongPollMilliseconds,
      version: 0,
      confirmedAt: -Infinity,
      failingSince: undefined,
      lostAt: undefined,
      checksHistory: false,
      calledAt: -Infinity,
      interrupt: () => {},
      apply: rows => host.crashRows.apply(rows)
    }
  ]
  let connectionFailingSince: number | undefined
  let era = 0

  /** Starts to read all tables anew if the reply comes from another history of the store. Returns whether the reply can be used. */
  const checkEra = (reply: StoreReply, whole: boolean): boolean => {
    const latest = reply.era ?? era
    if (latest <= era) return latest === era
    const isFirst = era === 0
    era = latest
    if (isFirst) return true
    watches.forEach(watch => { watch.version = 0 })
    interruptAll()
    return whole
  }
  const interruptAll = (): void => watches.forEach(watch => watch.interrupt())

  const recordOutageEnd = (watch: TableWatch, lostAt: number, endedAt: number): void => {
    watch.lostAt = undefined
    logger.info('store regained', { table: watch.table, milliseconds: Math.round(endedAt - lostAt) })
    if (watch.table === Table.Servers && endedAt - lostAt > minimumOutageMilliseconds) recordStoreRecovery(view.registry, endedAt)
    // The connections of calls from before the outage may have died in it.
    watches.filter(({ calledAt }) => calledAt < lostAt).forEach(other => other.interrupt())
  }

  /** Ends the outage of a table if another host has had an answer of the store since it began. */
  const endOutage = (watch: TableWatch): void => {
    const confirmedAt = confirmedElsewhereAt()
    if (watch.lostAt === undefined || confirmedAt <= watch.lostAt) return
    recordOutageEnd(watch, watch.lostAt, confirmedAt)
    watch.checksHistory = true
  }

  const handleReply = (watch: TableWatch, reply: StoreReply, whole: boolean): void => {
    if (!checkEra(reply, whole)) return
    if (reply.outcome !== StoreOutcome.Done) {
      if (watch.lostAt === undefined) logger.warn('store lost', { table: watch.table, outcome: reply.outcome, reason: reply.reason, ageMilliseconds: Math.round(now() - watch.confirmedAt) })
      watch.lostAt ??= now()
      const wasWorking = watch.failingSince === undefined
      watch.failingSince ??= now()
      if (wasWorking) onFailing()
      return
    }
    watch.failingSince = undefined
    endOutage(watch)
    if (watch.lostAt !== undefined) recordOutageEnd(watch, watch.lostAt, now())
    watch.checksHistory = false
    watch.apply(reply.rows, whole, reply.version)
    watch.version = reply.version
    watch.confirmedAt = now()
  }

  const loadTable = async (watch: TableWatch): Promise<void> => {
    const reply = await store.readTable(watch.table)
    // The watch may have read the table in the meantime.
    if (watch.version === 0) handleReply(watch, reply, true)
  }

  const readTableOnce = async (watch: TableWatch): Promise<boolean> => {
    const whole = watch.version === 0
    const reply = await (whole ? store.readTable(watch.table) : store.readChanges(watch.table, watch.version, 0))
    if (reply.outcome === StoreOutcome.HistoryDropped) watch.version = 0
    else handleReply(watch, reply, whole)
    // A reply of another history makes the table be read anew.
    if (watch.version === 0 && !whole) return await readTableOnce(watch)
    return reply.outcome === StoreOutcome.Done
  }

  function * runWatch (watch: TableWatch): ProcessBody {
    let failures = 0
    for (;;) {
      if (!isNeeded()) {
        watch.failingSince = undefined
        failures = 0
        endOutage(watch)
        yield sleep(idlePollMilliseconds)
        continue
      }
      // A host that starts to watch the store in an outage finds out by the tables that it needs to serve requests.
      if (!initialTables.has(watch.table) && watches.some(other => initialTables.has(other.table) && now() - other.confirmedAt > recentMilliseconds)) {
        yield sleep(idlePollMilliseconds)
        continue
      }
      // During an outage, only the first failing table is retried on behalf of all.
      if (watch.failingSince !== undefined && watches.some(other => other !== watch && other.failingSince !== undefined && watches.indexOf(other) < watches.indexOf(watch))) {
        yield sleep(idlePollMilliseconds)
        continue
      }
      const whole = watch.version === 0
      const calledAt = now()
      watch.calledAt = calledAt
      // After an outage, the reply is not waited for, since it tells whether the store still has the same history.
      const waitMilliseconds = watch.lostAt === undefined && !watch.checksHistory ? watch.longPollMilliseconds : 0
      const interrupted = new Promise<undefined>(resolve => { watch.interrupt = () => resolve(undefined) })
      const call = whole ? store.readTable(watch.table) : store.readChanges(watch.table, watch.version, waitMilliseconds)
      const settled: { ok: boolean, value?: StoreReply | undefined } = yield take(fromPromise(Promise.race([call, interrupted])))
      const reply = settled.value
      if (reply === undefined) {
        yield sleep(interruptedPauseMilliseconds)
        continue
      }
      if (reply.outcome === StoreOutcome.HistoryDropped) {
        logger.info('history dropped', { table: watch.table, version: watch.version })
        watch.version = 0
        continue
      }
      handleReply(watch, reply, whole)
      failures = reply.outcome === StoreOutcome.Done ? 0 : failures + 1
      if (failures > 0) yield sleep(Math.min(maximumRetryMilliseconds, initialRetryMilliseconds * 2 ** failures) * (0.7 + 0.6 * host.random()))
      // Prevents a busy loop if the change feed responds at once without any rows.
      else if (now() - calledAt < waitMilliseconds / 2) yield sleep(watch.table === Table.CrashSuspects ? crashBatchMilliseconds : batchMilliseconds)
    }
  }

  function * checkConnection (): ProcessBody {
    for (;;) {
      yield sleep(connectionCheckMilliseconds)
      if (!isNeeded()) {
        connectionFailingSince = undefined
        continue
      }
      const settled: { value?: boolean } = yield take(fromPromise(canConnect(host.settings.storeAddress)))
      if (settled.value !== true) {
        connectionFailingSince ??= now()
        continue
      }
      // Connections that were opened before the outage may be dead without a sign of it.
      if (connectionFailingSince !== undefined) interruptAll()
      connectionFailingSince = undefined
    }
  }

  function * removeExpiredCrashRows (): ProcessBody {
    for (;;) {
      yield sleep(crashRowCheckMilliseconds)
      if (isNeeded()) host.crashRows.removeExpired()
    }
  }

  function * applyHeldRemovals (): ProcessBody {
    for (;;) {
      yield sleep(idlePollMilliseconds)
      view.applyHeldRemovals()
    }
  }

  let processes: SupervisedProcess[] = []
  return {
    start: () => {
      processes = [
        ...watches.map(watch => superviseProcess({ name: `watch ${watch.table}`, logger, body: () => runWatch(watch) })),
        superviseProcess({ name: 'check connection', logger, body: checkConnection }),
        superviseProcess({ name: 'apply held removals', logger, body: applyHeldRemovals }),
        superviseProcess({ name: 'remove expired crash rows', logger, body: removeExpiredCrashRows })
      ]
    },
    load: () => {
      logger.info('view loaded on demand', { milliseconds: Math.round(now() - host.startedAt) })
      watches.filter(({ table, version }) => initialTables.has(table) && version === 0).forEach(watch => {
        loadTable(watch).catch((error: unknown) => logger.warn('loading a table failed', { table: watch.table, reason: String(error) }))
      })
    },
    readOnce: async () => {
      if (isNeeded()) return true
      const hasAnswered = await Promise.all(watches.filter(({ table }) => initialTables.has(table)).map(readTableOnce))
      return hasAnswered.every(Boolean)
    },
    confirmedAt: () => Math.min(...watches.filter(({ table }) => initialTables.has(table)).map(({ confirmedAt }) => confirmedAt)),
    failingSince: () => {
      const times = [...watches.map(({ failingSince }) => failingSince), connectionFailingSince].filter(time => time !== undefined)
      return times.length === 0 ? undefined : Math.min(...times)
    },
    stop: () => processes.forEach(process => process.stop())
  }
}

function canConnect (address: string): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(splitAddress(address))
    const finish = (connected: boolean): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(connected)
    }
    const timer = setTimeout(finish, connectionCheckMilliseconds, false)
    socket.on('connect', () => finish(true))
    socket.on('error', () => finish(false))
  })
}
