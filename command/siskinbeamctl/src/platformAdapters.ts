// Adapters that implement the stores of the commands with the clients of the table service, the object store
// and the host list.
import { z } from 'zod'
import type { CreateHostListClientOptions, HostListClient } from '@siskinbeam/clients/createHostListClient'
import { HostRole } from '@siskinbeam/clients/createHostListClient'
import type { CreateObjectClientOptions, ObjectClient } from '@siskinbeam/clients/createObjectClient'
import type { CreateTableClientOptions, TableClient, TableRow } from '@siskinbeam/clients/createTableClient'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import { headKey, formatBodyKey, formatHistoryKey, type BodyStore, type HeadStore, type StoredHead } from '@siskinbeam/rollout/bundleStores'

/** The calls that the commands make. The open connections of these clients do not keep the process alive. */
export type OperatorTableClient = Pick<TableClient, 'read' | 'transact'>
export type OperatorObjectClient = Pick<ObjectClient, 'put' | 'get'>
export type OperatorHostListClient = Pick<HostListClient, 'list'>

export interface PlatformConnectors {
  connectTable: (options: CreateTableClientOptions) => OperatorTableClient
  connectObjects: (options: CreateObjectClientOptions) => OperatorObjectClient
  connectHostList: (options: CreateHostListClientOptions) => OperatorHostListClient
}

const digestSchema = z.string().regex(/^[0-9a-f]{64}$/)
const headSchema = z.object({ version: z.number().int().min(1), digest: digestSchema })
const recordSchema = headSchema.extend({ name: z.string(), previousDigest: digestSchema.nullable(), author: z.string(), approver: z.string(), rolledOutAt: z.string() })

/** Creates a store that keeps the head in the row `bundle/head`, and one history row for each rollout. */
export function createHeadStore (table: OperatorTableClient): HeadStore {
  return {
    readHead: async () => {
      const rows = await table.read([headKey])
      return rows.ok ? parseHeadRow(rows.value.rows.find(({ key }) => key === headKey)) : rows
    },
    moveHead: async (revision, record) => {
      const { version, digest } = record
      const done = await table.transact([
        { kind: 'put', key: headKey, value: { version, digest }, expectedVersion: revision, expiresAtMilliseconds: null },
        // The record needs no condition of its own: the condition on the head covers the whole transaction.
        { kind: 'put', key: formatHistoryKey(version), value: record, expectedVersion: 'any', expiresAtMilliseconds: null }
      ])
      if (done.ok) return succeed({ moved: true })
      if (done.conflict === undefined) return done
      const found = parseHeadRow(done.conflict.rows.get(headKey) ?? undefined)
      return found.ok ? succeed({ moved: false, found: found.value }) : found
    },
    readRecords: async versions => {
      const rows = await table.read(versions.map(formatHistoryKey))
      if (!rows.ok) return rows
      const records = rows.value.rows.map(({ value }) => recordSchema.safeParse(value)).flatMap(({ data }) => data === undefined ? [] : [data])
      return succeed(versions.flatMap(version => records.filter(record => record.version === version)))
    }
  }
}

function parseHeadRow (row: TableRow | undefined): Result<StoredHead> {
  if (row === undefined) return succeed({ head: null, revision: null })
  const head = headSchema.safeParse(row.value)
  if (!head.success) return fail(ResultCode.BundleInvalid, `the row ${headKey} is malformed`, { key: headKey, expected: 'version and digest' })
  return succeed({ head: head.data, revision: row.version })
}

/** Creates a store that keeps signed bundle documents under the key `bundles/<digest>`. */
export function createBodyStore (objects: OperatorObjectClient): BodyStore {
  return {
    // Replaces an existing document, since one with the same body and invalid signatures must not block the valid one.
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

/** Lists the entry hosts, including leaving ones, sorted by name. */
export async function listEntryHosts (client: OperatorHostListClient): Promise<Result<EntryHost[]>> {
  const hosts = await client.list()
  if (!hosts.ok) return hosts
  return succeed(hosts.value.filter(({ role }) => role === HostRole.Entry).sort((first, second) => first.name < second.name ? -1 : 1))
}
