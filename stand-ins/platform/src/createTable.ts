// The table: rows with versions, transactions that write all rows or none, and rows that expire.
// A version is the number of the transaction that wrote the row and is therefore never used twice,
// not even after the row expired. Rows and log are bounded.

/** Condition of a put: the row's version, null for an absent row, or no condition. */
export type ExpectedVersion = number | null | 'any'

/** One put of a transaction. `expiresAtMilliseconds` is in the service's epoch milliseconds; null never expires. */
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

/** A committed transaction, for checks of histories. */
export interface LogEntry {
  transaction: number
  timeMilliseconds: number
  rows: Array<{ key: string, value: unknown }>
}

export enum TransactionOutcome {
  Committed = 'committed',
  ConditionFailed = 'condition-failed',
  /** The table has no room for a new row. */
  Full = 'full'
}

export type TableAnswer =
  | { outcome: TransactionOutcome.Committed, transaction: number }
  | { outcome: TransactionOutcome.ConditionFailed, rows: TableRow[] }
  | { outcome: TransactionOutcome.Full }

export interface CreateTableOptions {
  maximumRows?: number
  /** Rows in the log; the oldest transactions are dropped beyond this. */
  maximumLoggedRows?: number
}

/** A table in memory. `now` is the service's epoch milliseconds. */
export interface Table {
  transact: (operations: TableOperation[], now: number) => TableAnswer
  read: (keys: string[], now: number) => TableRow[]
  removeExpired: (now: number) => void
  countRows: () => number
  /** Transactions after the number given; `firstKept` tells whether earlier ones were dropped. */
  listLog: (after: number) => { firstKept: number, entries: LogEntry[] }
}

interface KeptRow { value: unknown, version: number, expiresAtMilliseconds: number | null }

/** Creates an empty table. */
export function createTable ({ maximumRows = 500_000, maximumLoggedRows = 200_000 }: CreateTableOptions = {}): Table {
  const rows = new Map<string, KeptRow>()
  const log = { entries: [] as LogEntry[], first: 0, rows: 0 }
  let transactions = 0

  const find = (key: string, now: number): KeptRow | undefined => {
    const row = rows.get(key)
    return row === undefined || (row.expiresAtMilliseconds !== null && row.expiresAtMilliseconds <= now) ? undefined : row
  }
  const describe = (key: string, now: number): TableRow => {
    const row = find(key, now)
    return { key, value: row?.value ?? null, version: row?.version ?? null }
  }
  const holds = ({ key, expectedVersion }: TableOperation, now: number): boolean =>
    expectedVersion === 'any' || (find(key, now)?.version ?? null) === expectedVersion

  const append = (entry: LogEntry): void => {
    log.entries.push(entry)
    log.rows += entry.rows.length
    while (log.rows > maximumLoggedRows) {
      log.rows -= log.entries[log.first]?.rows.length ?? 0
      log.first += 1
    }
    // Dropped entries are removed in batches: a removal at the front costs the length of the array.
    if (log.first > 1_000 && log.first * 2 > log.entries.length) {
      log.entries.splice(0, log.first)
      log.first = 0
    }
  }

  return {
    transact: (operations, now) => {
      const failed = operations.filter(operation => !holds(operation, now))
      if (failed.length > 0) return { outcome: TransactionOutcome.ConditionFailed, rows: failed.map(({ key }) => describe(key, now)) }
      if (rows.size + operations.filter(({ key }) => !rows.has(key)).length > maximumRows) return { outcome: TransactionOutcome.Full }
      transactions += 1
      operations.forEach(({ key, value, expiresAtMilliseconds }) => rows.set(key, { value, version: transactions, expiresAtMilliseconds }))
      append({ transaction: transactions, timeMilliseconds: now, rows: operations.map(({ key, value }) => ({ key, value })) })
      return { outcome: TransactionOutcome.Committed, transaction: transactions }
    },
    read: (keys, now) => keys.map(key => describe(key, now)),
    removeExpired: now => {
      [...rows.keys()].filter(key => find(key, now) === undefined).forEach(key => rows.delete(key))
    },
    countRows: () => rows.size,
    listLog: after => {
      const kept = log.entries.slice(log.first)
      return { firstKept: kept[0]?.transaction ?? transactions + 1, entries: kept.filter(({ transaction }) => transaction > after) }
    }
  }
}
