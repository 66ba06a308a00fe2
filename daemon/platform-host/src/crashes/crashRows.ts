// Shares crash suspects with the hosts of all data centres through the store, and keeps them there for hosts that start. Each process
// writes rows of its own with all that it knows of a suspect, so that no write needs a condition and rows can be merged in any order.
import type { StoreClient, StoreRow } from '@siskinbeam/platform-adapter/createStoreClient'
import { StoreOutcome } from '@siskinbeam/platform-adapter/createStoreClient'
import { Table } from '@siskinbeam/platform-adapter/wire'
import { expiryMilliseconds } from '@siskinbeam/crash-suspects/stepCrashSuspects'
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { CrashDetection } from './crashDetection.js'

export interface CrashRows {
  /** Writes what this host knows of some suspects. Resolves once it is stored, or the first try has failed. */
  write: (fingerprints: string[]) => Promise<void>
  /** Writes what this host knows of some suspects, without a result. */
  share: (fingerprints: string[]) => void
  /** Applies rows that were read from the store. */
  apply: (rows: StoreRow[]) => void
  /** Fingerprints of suspects that could not be written yet. */
  listUnwritten: () => string[]
  /** Writes all that this process has written before again, after the store has lost it. */
  rewrite: () => void
  /** Removes rows whose suspects have expired. Called by hosts that watch the store. */
  removeExpired: () => void
  stop: () => void
}

export interface CreateCrashRowsOptions {
  store: Pick<StoreClient, 'writeRows' | 'removeRows'>
  crashes: Pick<CrashDetection, 'describe' | 'applySuspects'>
  logger: Logger
  /** Identifies this start of the host. */
  boot: string
  now: () => number
}

/** Limit of the store on the entries of a transaction. */
const maximumRowsPerWrite = 100
const maximumUnwritten = 1_000
const retryMilliseconds = { initial: 250, maximum: 4_000 }
/** More rows than this are removed, the oldest first. */
const maximumRows = 2_000

/** Creates the writer. */
export function createCrashRows ({ store, crashes, logger, boot, now }: CreateCrashRowsOptions): CrashRows {
  const unwritten = new Set<string>()
  const written = new Map<string, number>()
  /** When each row was first read, by key, the oldest first. Writers and readers have no common clock. */
  const firstReadAt = new Map<string, number>()
  let pendingWrite: Promise<void> | undefined
  let failures = 0
  let timer: NodeJS.Timeout | undefined
  let stopped = false

  const logFailure = (error: unknown): void => logger.warn('crash suspects not stored', { reason: String(error) })
  const formatKey = (fingerprint: string): string => `${fingerprint}/${boot}`

  const flush = async (): Promise<void> => {
    const fingerprints = [...unwritten].slice(0, maximumRowsPerWrite)
    const rows = crashes.describe(fingerprints).map(suspect => ({ key: formatKey(suspect.fingerprint), value: { suspects: [suspect] } }))
    // A change during the write makes a suspect unwritten again.
    fingerprints.forEach(fingerprint => unwritten.delete(fingerprint))
    if (rows.length === 0) return
    const reply = await store.writeRows(Table.CrashSuspects, '', rows)
    if (reply.outcome === StoreOutcome.Done) {
      failures = 0
      fingerprints.forEach(fingerprint => written.set(fingerprint, now()))
    } else {
      logger.warn('crash suspects not stored', { suspects: rows.length, outcome: reply.outcome, reason: reply.reason })
      fingerprints.slice(0, maximumUnwritten - unwritten.size).forEach(fingerprint => unwritten.add(fingerprint))
      failures += 1
    }
    if (unwritten.size > 0) scheduleFlush()
  }
  const startFlush = (): Promise<void> => {
    pendingWrite ??= flush().finally(() => { pendingWrite = undefined })
    return pendingWrite
  }
  const scheduleFlush = (): void => {
    if (stopped) return
    timer ??= setTimeout(() => {
      timer = undefined
      startFlush().catch(logFailure)
    }, Math.min(retryMilliseconds.maximum, retryMilliseconds.initial * 2 ** failures))
  }

  const write = async (fingerprints: string[]): Promise<void> => {
    if (fingerprints.length === 0) return
    fingerprints.slice(0, maximumUnwritten - unwritten.size).forEach(fingerprint => unwritten.add(fingerprint))
    if (timer === undefined && pendingWrite === undefined) await startFlush()
    else {
      await pendingWrite
      scheduleFlush()
    }
  }

  return {
    write,
    share: fingerprints => { if (fingerprints.length > 0) write(fingerprints).catch(logFailure) },
    apply: rows => {
      rows.forEach(({ key, deleted, value }) => {
        if (deleted) {
          firstReadAt.delete(key)
          return
        }
        if (!firstReadAt.has(key)) firstReadAt.set(key, now())
        crashes.applySuspects((value as { suspects?: unknown } | undefined)?.suspects, 'store')
      })
    },
    listUnwritten: () => [...unwritten],
    rewrite: () => {
      const recent = [...written].filter(([, at]) => now() - at < expiryMilliseconds).map(([fingerprint]) => fingerprint)
      written.clear()
      firstReadAt.clear()
      recent.slice(0, maximumUnwritten - unwritten.size).forEach(fingerprint => unwritten.add(fingerprint))
      if (unwritten.size > 0) scheduleFlush()
    },
    removeExpired: () => {
      const surplus = firstReadAt.size - maximumRows
      const expired = [...firstReadAt].filter(([, at], index) => index < surplus || now() - at > expiryMilliseconds).map(([key]) => key).slice(0, maximumRowsPerWrite)
      if (expired.length === 0) return
      expired.forEach(key => firstReadAt.delete(key))
      store.removeRows(Table.CrashSuspects, '', expired).then(({ outcome }) => {
        if (outcome !== StoreOutcome.Done) logger.info('expired crash suspects not removed', { outcome, rows: expired.length })
      }, () => {})
    },
    stop: () => {
      stopped = true
      clearTimeout(timer)
    }
  }
}
