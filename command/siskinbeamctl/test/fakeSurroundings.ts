// The platform, the entry hosts and the files in memory.
import assert from 'node:assert/strict'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed } from '@siskinbeam/result-codes/codedError'
import type { CommandSurroundings } from '../src/commandContext.js'
import type { HostStatus } from '../src/connectPeers.js'
import type { ListedHost, PlatformClients, TableRow } from '../src/connectPlatform.js'
import { runCommandLine } from '../src/runCommandLine.js'

export const createFakes = () => {
  const rows = new Map<string, TableRow>()
  const objects = new Map<string, Uint8Array>()
  const files = new Map<string, Uint8Array>()
  const hosts: ListedHost[] = []
  const statuses = new Map<string, HostStatus>()
  /** Whether the next writes, whose responses are lost, take effect. */
  const lostWrites: boolean[] = []
  /** Called before the next transaction, as another operator would act. */
  const interference: Array<() => Promise<unknown>> = []
  const clients: PlatformClients = {
    table: {
      read: async keys => succeed(keys.flatMap(key => rows.get(key) ?? [])),
      transact: async operations => {
        await interference.shift()?.()
        const takesEffect = lostWrites.shift()
        const failed = operations.filter(({ key, expectedVersion }) => expectedVersion !== 'any' && (rows.get(key)?.version ?? null) !== expectedVersion)
        const committed = failed.length === 0 && takesEffect !== false
        if (committed) operations.forEach(({ key, value }) => rows.set(key, { key, value, version: (rows.get(key)?.version ?? 0) + 1 }))
        if (takesEffect !== undefined) return fail(ResultCode.TableUnavailable, 'no answer')
        return succeed({ committed, rows: failed.flatMap(({ key }) => rows.get(key) ?? []) })
      }
    },
    objects: {
      put: async (key, bytes) => { objects.set(key, bytes); return succeed(undefined) },
      get: async key => objects.has(key) ? succeed(objects.get(key)!) : fail(ResultCode.ObjectNotFound, 'no such object')
    },
    hosts: { listHosts: async () => succeed(hosts) }
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
      createPlatformClients: () => clients,
      createPeerClient: () => ({ status: async address => find(statuses, address), dump: async address => JSON.stringify(find(statuses, address)) }),
      wait: async () => {},
      readClock: () => '2026-12-04T00:00:00.000Z'
    }
    return { exitCode: await runCommandLine(commandLine.split(' '), surroundings), output, errors }
  }
  return { rows, objects, files, hosts, statuses, lostWrites, interference, run }
}
