// Adapters from the clients of table service, object store and host list to what the command needs.
import { z } from 'zod'
import type { CreateHostListClientOptions, HostListClient } from '@siskinbeam/clients/createHostListClient'
import { HostRole } from '@siskinbeam/clients/createHostListClient'
import type { CreateObjectClientOptions, ObjectClient } from '@siskinbeam/clients/createObjectClient'
import type { CreateTableClientOptions, TableClient, TableRow } from '@siskinbeam/clients/createTableClient'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import { headKey, formatBodyKey, formatHistoryKey, type BodyStore, type HeadStore, type StoredHead } from '@siskinbeam/rollout/bundleStores'

/** The calls that the command makes. Their connections don't keep the command from ending. */
export type OperatorTableClient = Pick<TableClient, 'read' | 'transact'>
export type OperatorObjectClient = Pick<ObjectClient, 'put' | 'get'>
export type OperatorHostListClient = Pick<HostListClient, 'list'>

export interface PlatformConnectors {
  connectTable: (options: CreateTableClientOptions) => OperatorTableClient
  connectObjects: (options: CreateObjectClientOptions) => OperatorObjectClient
  connectHostList: (options: CreateHostListClientOptions) => OperatorHostListClient
}

const digestShape = z.string().regex(/^[0-9a-f]{64}$/)
const headShape = z.object({ version: z.number().int().min(1), digest: digestShape })
const recordShape = headShape.extend({ name: z.string(), previousDigest: digestShape.nullable(), author: z.string(), approver: z.string(), rolledOutAt: z.string() })

/** Keeps the head in the row `bundle/head`, and one row for each rollout. */
export function createHeadStore (table: OperatorTableClient): HeadStore {
  return {
    readHead: async () => {
      const rows = await table.read([headKey])
      return rows.ok ? readHeadRow(rows.value.rows.find(({ key }) => key === headKey)) : rows
    },
    moveHead: async (revision, record) => {
      const { version, digest } = record
      const done = await table.transact([
        { kind: 'put', key: headKey, value: { version, digest }, expectedVersion: revision, expiresAtMilliseconds: null },
        // The condition on the head decides who writes the record.
        { kind: 'put', key: formatHistoryKey(version), value: record, expectedVersion: 'any', expiresAtMilliseconds: null }
      ])
      if (done.ok) return succeed({ moved: true })
      if (done.conflict === undefined) return done
      const found = readHeadRow(done.conflict.rows.get(headKey) ?? undefined)
      return found.ok ? succeed({ moved: false, found: found.value }) : found
    },
    readRecords: async versions => {
      const rows = await table.read(versions.map(formatHistoryKey))
      if (!rows.ok) return rows
      const records = rows.value.rows.map(({ value }) => recordShape.safeParse(value)).flatMap(({ data }) => data === undefined ? [] : [data])
      return succeed(versions.flatMap(version => records.filter(record => record.version === version)))
    }
  }
}

function readHeadRow (row: TableRow | undefined): Result<StoredHead> {
  if (row === undefined) return succeed({ head: null, revision: null })
  const head = headShape.safeParse(row.value)
  if (!head.success) return fail(ResultCode.BundleInvalid, `the row ${headKey} is malformed`, { key: headKey, expected: 'version and digest' })
  return succeed({ head: head.data, revision: row.version })
}

/** Keeps signed bundle documents under `bundles/<digest>`. */
export function createBodyStore (objects: OperatorObjectClient): BodyStore {
  return {
    // A document with the same body and wrong signatures must not bar the right one, so it is replaced.
    putBody: async (digest, bytes) => {
      const stored = await objects.put({ key: formatBodyKey(digest), bytes, ifAbsent: false })
      return stored.ok ? succeed(undefined) : stored
    },
    getBody: async digest => {
      const bytes = await objects.get(formatBodyKey(digest))
      if (bytes.ok || bytes.error.code !== ResultCode.ObjectNotFound) return bytes
      return fail(ResultCode.BundleNotFound, `no bundle with digest ${digest} is stored`, { key: formatBodyKey(digest), expected: 'a submitted bundle' })
    }
  }
}

export interface EntryHost { name: string, address: string }

/** Lists the entry hosts, leaving ones included, by name. */
export async function listEntryHosts (client: OperatorHostListClient): Promise<Result<EntryHost[]>> {
  const hosts = await client.list()
  if (!hosts.ok) return hosts
  return succeed(hosts.value.filter(({ role }) => role === HostRole.Entry).sort((first, second) => first.name < second.name ? -1 : 1))
}
