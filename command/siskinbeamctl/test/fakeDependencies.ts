// In-memory fakes of the platform, the entry hosts and the file system.
import assert from 'node:assert/strict'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed } from '@siskinbeam/result-codes/codedError'
import type { ListedHost } from '@siskinbeam/clients/createHostListClient'
import type { TableRow, TransactResult } from '@siskinbeam/clients/createTableClient'
import type { PeerStatus } from '@siskinbeam/protocol/peerStatus'
import type { CommandDependencies } from '../src/commandContext.js'
import { runCommandLine } from '../src/runCommandLine.js'

export const createFakeDependencies = () => {
  const rows = new Map<string, TableRow>()
  const objects = new Map<string, Uint8Array>()
  const files = new Map<string, Uint8Array>()
  const hosts: ListedHost[] = []
  const statuses = new Map<string, PeerStatus>()
  /** One entry for each of the next writes, all of which lose their response: whether the write takes effect. */
  const lostWrites: boolean[] = []
  /** Actions of a concurrent operator; one runs before each of the next transactions. */
  const concurrentActions: Array<() => Promise<unknown>> = []
  const timeMilliseconds = 0
  const connectTable: CommandDependencies['connectTable'] = () => ({
    read: async keys => succeed({ rows: keys.flatMap(key => rows.get(key) ?? []), timeMilliseconds }),
    transact: async (operations): Promise<TransactResult> => {
      await concurrentActions.shift()?.()
      const takesEffect = lostWrites.shift()
      const failed = operations.filter(({ key, expectedVersion }) => expectedVersion !== 'any' && (rows.get(key)?.version ?? null) !== expectedVersion)
      const committed = failed.length === 0 && takesEffect !== false
      if (committed) operations.forEach(({ key, value }) => rows.set(key, { key, value, version: (rows.get(key)?.version ?? 0) + 1 }))
      if (takesEffect !== undefined) return { ...fail(ResultCode.TableUnavailable, 'no answer'), mayHaveTakenEffect: true }
      if (committed) return { ok: true, value: { versions: new Map(operations.map(({ key }) => [key, rows.get(key)?.version ?? 0])), timeMilliseconds } }
      const conflict = { rows: new Map(failed.map(({ key }) => [key, rows.get(key) ?? null])), timeMilliseconds }
      return { ...fail(ResultCode.TableConditionFailed, 'the condition failed'), mayHaveTakenEffect: false, conflict }
    }
  })
  const connectObjects: CommandDependencies['connectObjects'] = () => ({
    put: async ({ key, bytes }) => { objects.set(key, bytes); return succeed({ stored: true }) },
    get: async key => objects.has(key) ? succeed(objects.get(key)!) : fail(ResultCode.ObjectNotFound, 'no such object')
  })
  const queryHost = (address: string) => {
    const status = statuses.get(address)
    return status === undefined ? fail(ResultCode.HostUnreachable, 'no answer') : succeed(status)
  }
  const find = <Value>(map: Map<string, Value>, key: string): Value => map.get(key) ?? assert.fail(`${key} does not exist`)
  const run = async (commandLine: string, environment: Record<string, string> = {}) => {
    const [output, errors]: [string[], string[]] = [[], []]
    const dependencies: CommandDependencies = {
      environment: { SISKINBEAM_TABLE_ADDRESS: '127.0.0.1:1', SISKINBEAM_OBJECT_STORE_ADDRESS: '127.0.0.1:2', SISKINBEAM_HOST_LIST_ADDRESS: '127.0.0.1:3', ...environment },
      writeOutput: line => output.push(line),
      writeError: line => errors.push(line),
      readFile: async path => find(files, path),
      writeFile: async (path, bytes) => { files.set(path, bytes) },
      connectTable,
      connectObjects,
      connectHostList: () => ({ list: async () => succeed(hosts) }),
      connectPeer: ({ address }) => ({
        status: async () => queryHost(address),
        dump: async () => {
          const status = queryHost(address)
          return status.ok ? succeed(JSON.stringify(status.value)) : status
        },
        close: () => {}
      }),
      wait: async () => {},
      readClock: () => '2026-12-04T00:00:00.000Z'
    }
    return { exitCode: await runCommandLine(commandLine.split(' '), dependencies), output, errors }
  }
  return { rows, objects, files, hosts, statuses, lostWrites, concurrentActions, run }
}
