// Starts the executable of an entry host as a child process with a signed bundle. The stand-ins of the platform run in
// the process of the test.
import { spawn, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { createObjectClient } from '@siskinbeam/clients/createObjectClient'
import { createTableClient, type TableClient } from '@siskinbeam/clients/createTableClient'
import { headKey, formatBodyKey } from '@siskinbeam/rollout/bundleStores'
import { formatCodedError, type Result } from '@siskinbeam/result-codes/codedError'
import type { BundleInput } from '@siskinbeam/schema/bundle'
import { signBundle } from '@siskinbeam/signatures/signBundle'
import { createSignedBundle, serializeSignedBundle, SignerRole } from '@siskinbeam/signatures/signedBundle'
import { createSigningKeyPair } from '@siskinbeam/signatures/signingKeys'
import { serveHostList } from '@siskinbeam/stand-in-platform/serveHostList'
import { serveObjectStore } from '@siskinbeam/stand-in-platform/serveObjectStore'
import { serveTableService } from '@siskinbeam/stand-in-platform/serveTableService'

/** An entry host in a child process. */
export interface StartedProcess {
  guestAddress: string
  peerAddress: string
  metricsAddress: string
  child: ChildProcess
  /** The exit code, or the signal that ended the process. */
  exited: Promise<number | string>
  hasExited: () => boolean
  table: TableClient
  setTableFaults: (faults: Record<string, unknown>) => void
  stop: () => Promise<void>
}

export const operatorKey = 'operator-key-of-the-tests'
const seed = 7

/** Starts the host on the IP address `ip`, whose ports no other process may use, and waits until it is ready. */
export async function startProcess (ip: string, input: BundleInput, leavingSeconds: number): Promise<StartedProcess> {
  const [tableService, objectStore, hostList] = await Promise.all([serveTableService({ seed }), serveObjectStore({ seed }), serveHostList({ seed })])
  const table = createTableClient({ address: tableService.address })
  const trustedKeys = await storeSignedBundle(input, table, objectStore.address)
  const settings = {
    host: 'entry-1',
    'data-centre': 'north',
    'guest-address': `${ip}:8000`,
    'peer-address': `${ip}:8001`,
    'metrics-address': `${ip}:8002`,
    'table-address': tableService.address,
    'object-store-address': objectStore.address,
    'host-list-address': hostList.address,
    'peer-key': 'peer-key-of-the-tests',
    'operator-key': operatorKey,
    'trusted-keys': trustedKeys.join(','),
    'leaving-seconds': leavingSeconds,
    'drain-seconds': 20,
    'log-level': 'error',
    seed
  }
  const binary = fileURLToPath(new URL('../../src/runEntryHost.js', import.meta.url))
  const child = spawn(process.execPath, [binary, ...Object.entries(settings).map(([flag, value]) => `--${flag}=${value}`)], { stdio: ['ignore', 'pipe', 'inherit'], env: {} })
  const killAtExit = (): void => { child.kill('SIGKILL') }
  process.once('exit', killAtExit)
  let hasExited = false
  const exited = new Promise<number | string>(resolve => child.once('exit', (code, signal) => {
    hasExited = true
    resolve(code ?? signal ?? 'unknown')
  }))
  await new Promise<void>((resolve, reject) => {
    child.stdout?.once('data', () => resolve())
    exited.then(code => reject(new Error(`the host exited with ${code}`)), reject)
  })
  return {
    guestAddress: settings['guest-address'],
    peerAddress: settings['peer-address'],
    metricsAddress: settings['metrics-address'],
    child,
    exited,
    hasExited: () => hasExited,
    table,
    setTableFaults: faults => { tableService.setFaults(faults) },
    stop: async () => {
      child.kill('SIGKILL')
      await exited
      process.off('exit', killAtExit)
      table.close()
      await Promise.all([tableService, objectStore, hostList].map(standIn => standIn.close()))
    }
  }
}

async function storeSignedBundle (input: BundleInput, table: TableClient, objectStoreAddress: string): Promise<string[]> {
  const [author, approver] = [createSigningKeyPair(), createSigningKeyPair()]
  const document = unwrap(createSignedBundle(input))
  const signed = unwrap(signBundle({ document, role: SignerRole.Author, privateKey: author.privateKey }))
  const approved = unwrap(signBundle({ document: signed, role: SignerRole.Approver, privateKey: approver.privateKey }))
  const objects = createObjectClient({ address: objectStoreAddress })
  unwrap(await objects.put({ key: formatBodyKey(approved.digest), bytes: serializeSignedBundle(approved), ifAbsent: false }))
  objects.close()
  unwrap(await table.transact([{ kind: 'put', key: headKey, value: { version: 1, digest: approved.digest }, expectedVersion: null, expiresAtMilliseconds: null }]))
  return [author.publicKey, approver.publicKey]
}

function unwrap<Value> (result: Result<Value>): Value {
  if (result.ok) return result.value
  throw new Error(formatCodedError(result.error))
}
