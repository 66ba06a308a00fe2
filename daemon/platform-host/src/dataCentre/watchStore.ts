// Watches the store for this host and its followers: one process for each table reads what changed and
// waits for more. The processes rest while nobody needs them. A check of the path opens a connection
// without a call, since an open call can't tell a quiet store from one that is cut off.
import { connect } from 'node:net'
import type { StoreClient, StoreReply, StoreRow } from '@siskinbeam/platform-adapter/createStoreClient'
import { StoreOutcome } from '@siskinbeam/platform-adapter/createStoreClient'
import { readConfiguration } from '@siskinbeam/platform-adapter/readConfiguration'
import { readServerRow } from '@siskinbeam/platform-adapter/readServerEntry'
import { configurationKey, Table } from '@siskinbeam/platform-adapter/wire'
import { fromPromise, sleep, take, type ProcessBody } from '@siskinbeam/processes/channels'
import { superviseProcess, type SupervisedProcess } from '@siskinbeam/processes/superviseProcess'
import { noteStoreReturn } from '@siskinbeam/server-registry/serverRegistry'
import { splitAddress } from '@siskinbeam/settings/splitAddress'
import type { PlatformHost } from '../platformHost.js'
import type { View } from './view.js'

export interface StoreWatch {
  /** When the view was last known to match the store. */
  confirmedAt: () => number
  /** Since when calls have failed, undefined if the latest one succeeded. */
  failingSince: () => number | undefined
  start: () => void
  stop: () => void
}

export interface WatchStoreOptions {
  host: PlatformHost
  view: View
  store: StoreClient
  /** Whether somebody needs the view to be kept up to date from the store. */
  isNeeded: () => boolean
  /** Called when calls begin to fail. */
  onFailing: () => void
}

interface TableWatch {
  table: Table
  version: number
  confirmedAt: number
  failingSince: number | undefined
  /** When the store was last lost, until it is regained; unlike failingSince it outlasts a rest. */
  lostAt: number | undefined
  apply: (rows: StoreRow[], whole: boolean, version: number) => void
}

/** A call waits this long for a change. Connections that went silent are found by the end of the wait. */
const longPollMilliseconds = 2_000
/** Collects changes that come in quick succession. */
const batchMilliseconds = 350
const idlePollMilliseconds = 100
const initialRetryMilliseconds = 75
const maximumRetryMilliseconds = 800
/** Entries of servers may lapse if the store is away for longer. */
const minimumOutageMilliseconds = 1_000
const connectionCheckMilliseconds = 400

/** Creates the watch. */
export function watchStore ({ host, view, store, isNeeded, onFailing }: WatchStoreOptions): StoreWatch {
  const { now, logger } = host
  const watches: TableWatch[] = [
    {
      table: Table.Operator,
      version: 0,
      confirmedAt: -Infinity,
      failingSince: undefined,
      lostAt: undefined,
      apply: rows => rows.filter(({ key, gone }) => key === configurationKey && !gone).forEach(row => {
        const configuration = readConfiguration(row.value)
        if (configuration === undefined) logger.error('configuration unreadable', { version: row.version })
        else view.applyConfiguration(configuration, 'store')
      })
    },
    {
      table: Table.Servers,
      version: 0,
      confirmedAt: -Infinity,
      failingSince: undefined,
      lostAt: undefined,
      apply: (rows, whole, version) => view.applyServers({ whole, version, changes: rows.map(readServerRow) }, 'store')
    }
  ]
  let connectionFailingSince: number | undefined

  const handleReply = (watch: TableWatch, reply: StoreReply, whole: boolean): void => {
    if (reply.outcome !== StoreOutcome.Done) {
      if (watch.lostAt === undefined) logger.warn('store lost', { table: watch.table, outcome: reply.outcome, reason: reply.reason, ageMilliseconds: Math.round(now() - watch.confirmedAt) })
      watch.lostAt ??= now()
      const isNew = watch.failingSince === undefined
      watch.failingSince ??= now()
      if (isNew) onFailing()
      return
    }
    watch.failingSince = undefined
    if (watch.lostAt !== undefined) {
      logger.info('store regained', { table: watch.table, milliseconds: Math.round(now() - watch.lostAt) })
      if (watch.table === Table.Servers && now() - watch.lostAt > minimumOutageMilliseconds) noteStoreReturn(view.registry, now())
      watch.lostAt = undefined
    }
    watch.apply(reply.rows, whole, reply.version)
    watch.version = reply.version
    watch.confirmedAt = now()
  }

  function * runWatch (watch: TableWatch): ProcessBody {
    let failures = 0
    for (;;) {
      if (!isNeeded()) {
        watch.failingSince = undefined
        failures = 0
        yield sleep(idlePollMilliseconds)
        continue
      }
      // While the store is lost, one table is tried for all.
      if (watch.failingSince !== undefined && watches.some(other => other !== watch && other.failingSince !== undefined && watches.indexOf(other) < watches.indexOf(watch))) {
        yield sleep(idlePollMilliseconds)
        continue
      }
      const whole = watch.version === 0
      const calledAt = now()
      const settled: { ok: boolean, value?: StoreReply } = yield take(fromPromise(whole ? store.readTable(watch.table) : store.readChanges(watch.table, watch.version, longPollMilliseconds)))
      const reply = settled.value
      if (reply === undefined) continue
      if (reply.outcome === StoreOutcome.HistoryDropped) {
        logger.info('history dropped', { table: watch.table, version: watch.version })
        watch.version = 0
        continue
      }
      handleReply(watch, reply, whole)
      failures = reply.outcome === StoreOutcome.Done ? 0 : failures + 1
      if (failures > 0) yield sleep(Math.min(maximumRetryMilliseconds, initialRetryMilliseconds * 2 ** failures) * (0.7 + 0.6 * host.random()))
      // A feed that answers at once and without a row must not turn into a busy loop.
      else if (now() - calledAt < longPollMilliseconds / 2) yield sleep(batchMilliseconds)
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
      if (settled.value === true) connectionFailingSince = undefined
      else connectionFailingSince ??= now()
    }
  }

  function * releaseHeldRemovals (): ProcessBody {
    for (;;) {
      yield sleep(idlePollMilliseconds)
      view.releaseHeldRemovals()
    }
  }

  let processes: SupervisedProcess[] = []
  return {
    start: () => {
      processes = [
        ...watches.map(watch => superviseProcess({ name: `watch ${watch.table}`, logger, body: () => runWatch(watch) })),
        superviseProcess({ name: 'check connection', logger, body: checkConnection }),
        superviseProcess({ name: 'release held removals', logger, body: releaseHeldRemovals })
      ]
    },
    confirmedAt: () => Math.min(...watches.map(({ confirmedAt }) => confirmedAt)),
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
