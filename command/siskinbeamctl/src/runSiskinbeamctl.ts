// Entry point of siskinbeamctl: gives the commands files, clocks and clients.
import { readFile, writeFile } from 'node:fs/promises'
import { setTimeout as wait } from 'node:timers/promises'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail } from '@siskinbeam/result-codes/codedError'
import type { PeerClient } from './connectPeers.js'
import type { PlatformClients } from './connectPlatform.js'
import { runCommandLine } from './runCommandLine.js'

const missing = 'this build has no client for it'

// Stand-ins until platform/clients and peers/exchange are merged; every call fails with a result code.
const createPlatformClients = (): PlatformClients => ({
  table: {
    read: async () => fail(ResultCode.TableUnavailable, missing),
    transact: async () => fail(ResultCode.TableUnavailable, missing)
  },
  objects: {
    put: async () => fail(ResultCode.ObjectStoreUnavailable, missing),
    get: async () => fail(ResultCode.ObjectStoreUnavailable, missing)
  },
  hosts: { listHosts: async () => fail(ResultCode.HostListUnavailable, missing) }
})
const createPeerClient = (): PeerClient => ({
  status: async () => { throw new Error(missing) },
  dump: async () => { throw new Error(missing) }
})

process.exitCode = await runCommandLine(process.argv.slice(2), {
  environment: process.env,
  writeOutput: line => process.stdout.write(`${line}\n`),
  writeError: line => process.stderr.write(`${line}\n`),
  readFile: path => readFile(path),
  writeFile: (path, bytes) => writeFile(path, bytes),
  createPlatformClients,
  createPeerClient,
  wait: milliseconds => wait(milliseconds),
  readClock: () => new Date().toISOString()
})
