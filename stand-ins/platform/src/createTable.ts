// An in-memory table with row versions, atomic transactions and row expiry. The version of a row is the
// number of the transaction that wrote it, so a version is never reused, not even after the row has expired.
// The sizes of the table and of its log are bounded.

/** Condition of a put: the expected version of the row, null if the row must be absent, or `any` for no condition. */
export type ExpectedVersion = number | null | 'any'

/** One put of a transaction. `expiresAtMilliseconds` is in epoch milliseconds of the service clock; a row with null never expires. */
export interface TableOperation {
  kind: 'put'
  key: string
  value: unknown
  expectedVersion: ExpectedVersion
  expiresAtMilliseconds: number | null
}

/** A row; `version` and `value` are null for an absent row. */
export interface TableRow {
  key: string
  value: unknown
  version: number | null
}

/** A committed transaction. Tests use the log to check the history of the rows. */
export interface LogEntry {
  transaction: number
  timeMilliseconds: number
  rows: Array<{ key: string, value: unknown }>
}

export enum TransactionOutcome {
  Committed = 'committed',
  ConditionFailed = 'condition-failed',
  /** The table has reached its maximum number of rows. */
  Full = 'full'
}

export type TransactionResult =
  | { outcome: TransactionOutcome.Committed, transaction: number }
  | { outcome: TransactionOutcome.ConditionFailed, rows: TableRow[] }
  | { outcome: TransactionOutcome.Full }

export interface CreateTableOptions {
  maximumRows?: number
  /** Maximum number of rows in the log; the oldest transactions are dropped beyond this. */
  maximumLoggedRows?: number
}

/** A table in memory. `now` is in epoch milliseconds of the service clock. */
export interface Table {
  transact: (operations: TableOperation[], now: number) => TransactionResult
  read: (keys: string[], now: number) => TableRow[]
  removeExpired: (now: number) => void
  countRows: () => number
  /** Returns the transactions after the given number. `firstKept`, the oldest one in the log, shows whether earlier ones were dropped. */
  listLog: (after: number) => { firstKept: number, entries: LogEntry[] }
}

interface StoredRow { value: unknown, version: number, expiresAtMilliseconds: number | null }

/** Creates an empty table. */
export function createTable ({ maximumRows = 500_000, maximumLoggedRows = 200_000 }: CreateTableOptions = {}): Table {
  const rows = new Map<string, StoredRow>()
  const log = { entries: [] as LogEntry[], first: 0, rows: 0 }
  let transactions = 0

  const find = (key: string, now: number): StoredRow | undefined => {
    const row = rows.get(key)
    return row === undefined || (row.expiresAtMilliseconds !== null && row.expiresAtMilliseconds <= now) ? undefined : row
  }
  const describe = (key: string, now: number): TableRow => {
    const row = find(key, now)
    return { key, value: row?.value ?? null, version: row?.version ?? null }
  }
  const conditionHolds = ({ key, expectedVersion }: TableOperation, now: number): boolean =>
    expectedVersion === 'any' || (find(key, now)?.version ?? null) === expectedVersion

  const appendToLog = (entry: LogEntry): void => {
    log.entries.push(entry)
    log.rows += entry.rows.length
    while (log.rows > maximumLoggedRows) {
      log.rows -= log.entries[log.first]?.rows.length ?? 0
      log.first += 1
    }
    // Removes dropped entries in batches, since a removal at the front takes time linear in the length of the array.
    if (log.first > 1_000 && log.first * 2 > log.entries.length) {
      log.entries.splice(0, log.first)
      log.first = 0
    }
  }

  return {
    transact: (operations, now) => {
      const failed = operations.filter(operation => !conditionHolds(operation, now))
      if (failed.length > 0) return { outcome: TransactionOutcome.ConditionFailed, rows: failed.map(({ key }) => describe(key, now)) }
      if (rows.size + operations.filter(({ key }) => !rows.has(key)).length > maximumRows) return { outcome: TransactionOutcome.Full }
      transactions += 1
      operations.forEach(({ key, value, expiresAtMilliseconds }) => rows.set(key, { value, version: transactions, expiresAtMilliseconds }))
      appendToLog({ transaction: transactions, timeMilliseconds: now, rows: operations.map(({ key, value }) => ({ key, value })) })
      return { outcome: TransactionOutcome.Committed, transaction: transactions }
    },
    read: (keys, now) => keys.map(key => describe(key, now)),
    removeExpired: now => {
      [...rows.keys()].filter(key => find(key, now) === undefined).forEach(key => rows.delete(key))
    },
    countRows: () => rows.size,
    listLog: after => {
      const retained = log.entries.slice(log.first)
      return { firstKept: retained[0]?.transaction ?? transactions + 1, entries: retained.filter(({ transaction }) => transaction > after) }
    }
  }
}
