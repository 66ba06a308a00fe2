// Adapters from the clients of table service, object store and host list to what the command needs.
// The interfaces of the clients are stated here as narrowly as possible.
import { z } from 'zod'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import { headKey, nameBodyKey, nameRecordKey, type BodyStore, type HeadStore, type StoredHead } from '@siskinbeam/rollout/bundleStores'

export interface TableRow { key: string, value: unknown, version: number }
export interface TablePut { kind: 'put', key: string, value: unknown, expectedVersion: number | null | 'any' }

export interface TableClient {
  /** The rows that exist. */
  read: (keys: string[]) => Promise<Result<TableRow[]>>
  /** `rows` are the current rows of the keys whose condition failed, if it was not committed. */
  transact: (operations: TablePut[]) => Promise<Result<{ committed: boolean, rows: TableRow[] }>>
}

export interface ObjectClient {
  put: (key: string, bytes: Uint8Array, ifAbsent: boolean) => Promise<Result<void>>
  /** Fails with ObjectNotFound. */
  get: (key: string) => Promise<Result<Uint8Array>>
}

export interface ListedHost { name: string, role: string, address: string, dataCentre: string, state: string }
export interface HostListClient { listHosts: () => Promise<Result<ListedHost[]>> }

export interface PlatformClients { table: TableClient, objects: ObjectClient, hosts: HostListClient }

const digestShape = z.string().regex(/^[0-9a-f]{64}$/)
const headShape = z.object({ version: z.number().int().min(1), digest: digestShape })
const recordShape = headShape.extend({ name: z.string(), previousDigest: digestShape.nullable(), author: z.string(), approver: z.string(), rolledOutAt: z.string() })

/** Keeps the head in the row `bundle/head`, and one row for each rollout. */
export function createHeadStore (table: TableClient): HeadStore {
  return {
    readHead: async () => {
      const rows = await table.read([headKey])
      return rows.ok ? readHeadRow(rows.value) : rows
    },
    moveHead: async (revision, record) => {
      const { version, digest } = record
      const done = await table.transact([
        { kind: 'put', key: headKey, value: { version, digest }, expectedVersion: revision },
        // The condition on the head decides who writes the record.
        { kind: 'put', key: nameRecordKey(version), value: record, expectedVersion: 'any' }
      ])
      if (!done.ok) return done
      if (done.value.committed) return succeed({ moved: true })
      const found = readHeadRow(done.value.rows)
      return found.ok ? succeed({ moved: false, found: found.value }) : found
    },
    readRecords: async versions => {
      const rows = await table.read(versions.map(nameRecordKey))
      if (!rows.ok) return rows
      const records = rows.value.map(({ value }) => recordShape.safeParse(value)).flatMap(({ data }) => data === undefined ? [] : [data])
      return succeed(versions.flatMap(version => records.filter(record => record.version === version)))
    }
  }
}

function readHeadRow (rows: TableRow[]): Result<StoredHead> {
  const row = rows.find(({ key }) => key === headKey)
  if (row === undefined) return succeed({ head: null, revision: null })
  const head = headShape.safeParse(row.value)
  if (!head.success) return fail(ResultCode.BundleInvalid, `the row ${headKey} is malformed`, { key: headKey, expected: 'version and digest' })
  return succeed({ head: head.data, revision: row.version })
}

/** Keeps signed bundle documents under `bundles/<digest>`. */
export function createBodyStore (objects: ObjectClient): BodyStore {
  return {
    // A document with the same body and wrong signatures must not bar the right one, so it is replaced.
    putBody: (digest, bytes) => objects.put(nameBodyKey(digest), bytes, false),
    getBody: async digest => {
      const bytes = await objects.get(nameBodyKey(digest))
      if (bytes.ok || bytes.error.code !== ResultCode.ObjectNotFound) return bytes
      return fail(ResultCode.BundleNotFound, `no bundle with digest ${digest} is stored`, { key: nameBodyKey(digest), expected: 'a submitted bundle' })
    }
  }
}

export interface EntryHost { name: string, address: string }

/** Lists the entry hosts, leaving ones included, by name. */
export async function listEntryHosts (client: HostListClient): Promise<Result<EntryHost[]>> {
  const hosts = await client.listHosts()
  if (!hosts.ok) return hosts
  return succeed(hosts.value.filter(({ role }) => role === 'entry').sort((first, second) => first.name < second.name ? -1 : 1))
}
