// Adapter from the connect-es client of entry hosts to what the command needs.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'

/** What an entry host tells of itself. */
export interface HostStatus {
  host: string
  boot: string
  /** 0 if no bundle is in force. */
  version: number
  digest: string
  /** Public keys of author and approver. */
  signers: string[]
  leaving: boolean
  inFlight: number
}

/** Calls to one entry host by its peer address; they throw errors with a connect-es `code`. */
export interface PeerClient {
  status: (address: string) => Promise<HostStatus>
  /** JSON text. */
  dump: (address: string) => Promise<string>
}

export interface PeerCalls {
  /** Fails with HostUnreachable or NotAuthorized. */
  readStatus: (address: string) => Promise<Result<HostStatus>>
  readDump: (address: string) => Promise<Result<unknown>>
}

// Code.Unauthenticated and Code.PermissionDenied of connect-es.
const refusalCodes = new Set<unknown>([16, 7])

/** Turns errors of the calls into result codes. */
export function createPeerCalls (client: PeerClient): PeerCalls {
  return {
    readStatus: address => callHost(address, () => client.status(address)),
    readDump: address => callHost(address, async () => JSON.parse(await client.dump(address)) as unknown)
  }
}

async function callHost<Value> (address: string, call: () => Promise<Value>): Promise<Result<Value>> {
  try {
    return succeed(await call())
  } catch (error) {
    const { code, message } = error as { code?: unknown, message: string }
    if (refusalCodes.has(code)) return fail(ResultCode.NotAuthorized, `${address} refused the operator key`, { key: 'operator-key', expected: 'the operator key of the entry hosts' })
    return fail(ResultCode.HostUnreachable, `${address} did not answer: ${message}`, { key: address, expected: 'a running entry host' })
  }
}
