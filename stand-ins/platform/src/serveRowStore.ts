// Stand-in for the row store of the users' platform: tables of rows with one version counter, a change feed
// with long polling, and injected faults: rejected calls, lost replies, delayed writes, no response, a stale
// feed, a dropped change history, and an older copy that takes the place of the store. Tests write the rows of the operator and the servers directly.
import { parseJson, serveHttp, type ReceivedRequest, type Reply } from './serveHttp.js'

export interface RowStoreRow {
  tableName: string
  part: string
  key: string
  value: string
  rowVersion: number
}

interface Change extends RowStoreRow {
  deleted: boolean
}

/** Faults of the store. A change applies to all later calls. */
export interface RowStoreFaults {
  /** Every call gets this status and has no effect. */
  refuseStatus: number | undefined
  /** Calls get no response and have no effect. */
  unresponsive: boolean
  /** Writes take effect, and their connection is closed without a response. */
  loseWriteReplies: boolean
  /** Writes take effect after this delay, and their connection is closed without a response. */
  writeDelayMilliseconds: number | undefined
  /** The change feed returns no changes. */
  staleFeed: boolean
}

export interface RowStore {
  address: string
  faults: RowStoreFaults
  /** Number of calls, by path. */
  calls: Map<string, number>
  put: (tableName: string, key: string, value: unknown, part?: string) => void
  putRaw: (tableName: string, key: string, value: string, part?: string) => void
  remove: (tableName: string, key: string, part?: string) => void
  read: (tableName: string, part?: string) => RowStoreRow[]
  /** Drops the change history, so that feed requests from an earlier version get 410. */
  dropHistory: () => void
  /** Returns a copy of the rows and their history. */
  takeCopy: () => RowStoreCopy
  /** Replaces the rows and their history by a copy, and closes all connections. The era, which all responses name, increases by one. */
  restore: (copy: RowStoreCopy) => void
  close: () => Promise<void>
}

export interface RowStoreCopy {
  rows: Map<string, RowStoreRow>
  changes: Change[]
  version: number
}

interface Transaction {
  expect?: Array<{ tableName: string, part: string, key: string, rowVersion: number }>
  upserts?: Array<{ tableName: string, part: string, key: string, value: string }>
  remove?: Array<{ tableName: string, part: string, key: string }>
}

const maximumBodyBytes = 1_048_576
const maximumWaitMilliseconds = 30_000
const defaultLimit = 500

/** Starts the row store; by default, the operating system assigns a free port. Throws if the address cannot be bound. */
export async function serveRowStore (address = '127.0.0.1:0'): Promise<RowStore> {
  const rows = new Map<string, RowStoreRow>()
  const faults: RowStoreFaults = { refuseStatus: undefined, unresponsive: false, loseWriteReplies: false, writeDelayMilliseconds: undefined, staleFeed: false }
  const calls = new Map<string, number>()
  const waitingRequests = new Set<() => void>()
  let changes: Change[] = []
  let version = 1
  let oldestVersion = 0
  let era = 1

  const formatRowKey = (tableName: string, part: string, key: string): string => JSON.stringify([tableName, part, key])
  const notifyWaiting = (): void => [...waitingRequests].forEach(resume => resume())
  const describeStoreState = (): { rowVersion: number, nowS: number } => ({ rowVersion: version, nowS: performance.now() / 1_000 })

  const apply = ({ upserts = [], remove = [] }: Transaction): void => {
    version += 1
    upserts.forEach(row => {
      const stored = { ...row, part: row.part ?? '', rowVersion: version }
      rows.set(formatRowKey(row.tableName, stored.part, row.key), stored)
      changes.push({ ...stored, deleted: false })
    })
    remove.forEach(({ tableName, part = '', key }) => {
      if (rows.delete(formatRowKey(tableName, part, key))) changes.push({ tableName, part, key, value: '', rowVersion: version, deleted: true })
    })
    notifyWaiting()
  }

  const transact = (body: Buffer): Reply | undefined => {
    const transaction = parseJson(body) as Transaction
    const expected = transaction.expect ?? []
    const current = expected.map(({ tableName, part = '', key }) => rows.get(formatRowKey(tableName, part, key)))
    if (expected.some(({ rowVersion }, index) => (current[index]?.rowVersion ?? 0) !== rowVersion)) {
      return { status: 412, body: { rows: current.filter(row => row !== undefined), ...describeStoreState() } }
    }
    if (faults.writeDelayMilliseconds !== undefined) {
      setTimeout(apply, faults.writeDelayMilliseconds, transaction)
      return undefined
    }
    apply(transaction)
    return faults.loseWriteReplies ? undefined : { status: 200, body: describeStoreState() }
  }

  const get = (query: URLSearchParams): Reply => {
    const limit = Number(query.get('limit') ?? defaultLimit)
    const found = [...rows.values()]
      .filter(row => row.tableName === query.get('tableName') && row.part === (query.get('part') ?? ''))
      .filter(({ key }) => key >= (query.get('rangeStart') ?? '') && (query.get('to') === null || key < String(query.get('to'))))
      .sort((first, second) => first.key < second.key ? -1 : 1)
    return { status: 200, body: { rows: found.slice(0, limit), hasMore: found.length > limit, ...describeStoreState() } }
  }

  const feed = (query: URLSearchParams): Promise<Reply> => new Promise(resolve => {
    const after = Number(query.get('after'))
    const changed = (): Change[] => faults.staleFeed ? [] : changes.filter(row => row.tableName === query.get('tableName') && row.rowVersion > after)
    const finish = (): void => {
      clearTimeout(timer)
      waitingRequests.delete(resume)
      resolve(isUnavailable() ? { status: 410, body: {} } : { status: 200, body: { rows: changed(), ...describeStoreState(), ...(faults.staleFeed ? { rowVersion: after } : {}) } })
    }
    const isUnavailable = (): boolean => after < oldestVersion || after > version
    const resume = (): void => { if (isUnavailable() || changed().length > 0) finish() }
    const timer = setTimeout(finish, Math.min(maximumWaitMilliseconds, Number(query.get('waitMs') ?? 0)))
    waitingRequests.add(resume)
    resume()
  })

  const handlers: Record<string, (request: ReceivedRequest) => Promise<Reply | undefined> | Reply | undefined> = {
    'POST /v1/rows-tx': ({ body }) => transact(body),
    'GET /v1/rows-get': ({ query }) => get(query),
    'GET /v1/rows-feed': ({ query }) => feed(query)
  }
  const addEra = async (pending: Promise<Reply | undefined> | Reply | undefined): Promise<Reply | undefined> => {
    const reply = await pending
    return reply === undefined ? undefined : { ...reply, headers: { 'store-era': String(era) } }
  }
  const listener = await serveHttp({
    address,
    maximumBodyBytes,
    handle: request => {
      calls.set(request.path, (calls.get(request.path) ?? 0) + 1)
      if (faults.unresponsive) return new Promise(() => {})
      return addEra(faults.refuseStatus === undefined ? handlers[`${request.method} ${request.path}`]?.(request) ?? { status: 404 } : { status: faults.refuseStatus })
    }
  })
  return {
    address: listener.address,
    faults,
    calls,
    put: (tableName, key, value, part = '') => apply({ upserts: [{ tableName, part, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }] }),
    putRaw: (tableName, key, value, part = '') => apply({ upserts: [{ tableName, part, key, value }] }),
    remove: (tableName, key, part = '') => apply({ remove: [{ tableName, part, key }] }),
    read: (tableName, part = '') => [...rows.values()].filter(row => row.tableName === tableName && row.part === part),
    dropHistory: () => {
      changes = []
      oldestVersion = version
      notifyWaiting()
    },
    takeCopy: () => ({ rows: new Map(rows), changes: [...changes], version }),
    restore: copy => {
      rows.clear()
      copy.rows.forEach((row, key) => rows.set(key, row))
      changes = [...copy.changes]
      version = copy.version
      era += 1
      waitingRequests.clear()
      listener.closeConnections()
    },
    close: () => listener.close()
  }
}
