// Calls of the command to entry hosts. Each call creates a client and closes it afterwards, since an open
// session would keep the process alive.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import type { CreatePeerClientOptions, PeerClient } from '@siskinbeam/exchange/createPeerClient'
import type { PeerStatus } from '@siskinbeam/protocol/peerStatus'

/** The calls that the commands make. */
export type OperatorPeerClient = Pick<PeerClient, 'status' | 'dump' | 'close'>
export type ConnectPeer = (options: CreatePeerClientOptions) => OperatorPeerClient

export interface CallPeerOptions {
  connect: ConnectPeer
  /** Peer address of the entry host. */
  address: string
  operatorKey: string
}

/** Creating and sending the dump of a large host takes about a second; a paused host never responds. */
const timeoutMilliseconds = 5_000

/** Fetches the status of one entry host. Fails with HostUnreachable or NotAuthorized. */
export function fetchPeerStatus (options: CallPeerOptions): Promise<Result<PeerStatus>> {
  return callPeer(options, client => client.status())
}

/** Fetches the state of one entry host. Fails with HostUnreachable or NotAuthorized. */
export async function fetchPeerDump (options: CallPeerOptions): Promise<Result<unknown>> {
  const text = await callPeer(options, client => client.dump())
  if (!text.ok) return text
  try {
    return succeed(JSON.parse(text.value))
  } catch (error) {
    return fail(ResultCode.HostUnreachable, `${options.address} sent a dump that is not JSON: ${(error as Error).message}`, { key: options.address, expected: 'an entry host of this version' })
  }
}

async function callPeer<Value> ({ connect, address, operatorKey }: CallPeerOptions, call: (client: OperatorPeerClient) => Promise<Result<Value>>): Promise<Result<Value>> {
  const client = connect({ address, key: operatorKey, timeoutMilliseconds })
  const result = await call(client)
  client.close()
  if (result.ok) return result
  return result.error.code === ResultCode.NotAuthorized
    ? fail(ResultCode.NotAuthorized, `${address} refused the operator key`, { key: 'operator-key', expected: 'the operator key of the entry hosts' })
    : fail(ResultCode.HostUnreachable, `${address} did not answer: ${result.error.message}`, { key: address, expected: 'a running entry host' })
}
