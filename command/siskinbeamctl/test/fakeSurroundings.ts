// The platform, the entry hosts and the files in memory.
import assert from 'node:assert/strict'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed } from '@siskinbeam/result-codes/codedError'
import type { ListedHost } from '@siskinbeam/clients/createHostListClient'
import type { TableRow, TransactResult } from '@siskinbeam/clients/createTableClient'
import type { PeerStatus } from '@siskinbeam/protocol/peerStatus'
import type { CommandSurroundings } from '../src/commandContext.js'
import { runCommandLine } from '../src/runCommandLine.js'

export const createFakes = () => {
  const rows = new Map<string, TableRow>()
  const objects = new Map<string, Uint8Array>()
  const files = new Map<string, Uint8Array>()
  const hosts: ListedHost[] = []
  const statuses = new Map<string, PeerStatus>()
  /** Whether the next writes, whose responses are lost, take effect. */
  const lostWrites: boolean[] = []
  /** Called before the next transaction, as another operator would act. */
  const interference: Array<() => Promise<unknown>> = []
  const timeMilliseconds = 0
  const connectTable: CommandSurroundings['connectTable'] = () => ({
    read: async keys => succeed({ rows: keys.flatMap(key => rows.get(key) ?? []), timeMilliseconds }),
    transact: async (operations): Promise<TransactResult> => {
      await interference.shift()?.()
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
  const connectObjects: CommandSurroundings['connectObjects'] = () => ({
    put: async ({ key, bytes }) => { objects.set(key, bytes); return succeed({ stored: true }) },
    get: async key => objects.has(key) ? succeed(objects.get(key)!) : fail(ResultCode.ObjectNotFound, 'no such object')
  })
  const askHost = (address: string) => {
    const status = statuses.get(address)
    return status === undefined ? fail(ResultCode.HostUnreachable, 'no answer') : succeed(status)
  }
  const find = <Value>(map: Map<string, Value>, key: string): Value => map.get(key) ?? assert.fail(`${key} is not there`)
  const run = async (commandLine: string, environment: Record<string, string> = {}) => {
    const [output, errors]: [string[], string[]] = [[], []]
    const surroundings: CommandSurroundings = {
      environment: { SISKINBEAM_TABLE_ADDRESS: '127.0.0.1:1', SISKINBEAM_OBJECT_STORE_ADDRESS: '127.0.0.1:2', SISKINBEAM_HOST_LIST_ADDRESS: '127.0.0.1:3', ...environment },
      writeOutput: line => output.push(line),
      writeError: line => errors.push(line),
      readFile: async path => find(files, path),
      writeFile: async (path, bytes) => { files.set(path, bytes) },
      connectTable,
      connectObjects,
      connectHostList: () => ({ list: async () => succeed(hosts) }),
      connectPeer: ({ address }) => ({
        status: async () => askHost(address),
        dump: async () => {
          const answer = askHost(address)
          return answer.ok ? succeed(JSON.stringify(answer.value)) : answer
        },
        close: () => {}
      }),
      wait: async () => {},
      readClock: () => '2026-12-04T00:00:00.000Z'
    }
    return { exitCode: await runCommandLine(commandLine.split(' '), surroundings), output, errors }
  }
  return { rows, objects, files, hosts, statuses, lostWrites, interference, run }
}
