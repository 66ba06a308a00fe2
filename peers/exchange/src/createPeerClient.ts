// Calls one peer. All calls share one HTTP/2 session, which opens at the first call. A call that times
// out drops the session, because a connection may go silent for ever while new ones work.
import { Code, ConnectError, createClient } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { fail, formatCodedError, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { Peer } from '@siskinbeam/protocol/generated/siskinbeam/peer/v1/peer_pb'
import { packPeerMessage, unpackPeerMessage, type PeerMessage } from '@siskinbeam/protocol/peerMessage'
import { unpackPeerStatus, type PeerStatus } from '@siskinbeam/protocol/peerStatus'
import { formatBearer } from './authorizeCall.js'
import * as limits from './peerLimits.js'
import type { FetchedBundle } from './servePeers.js'

export interface CreatePeerClientOptions {
  /** `ip:port`. */
  address: string
  key: string
  /** The time for an exchange or a status, the opening of the session included. Bundles and dumps have 2 s. */
  timeoutMilliseconds: number
}

/** Calls to one peer. They fail with NotAuthorized (604) or HostUnreachable (605) and never throw. */
export interface PeerClient {
  address: string
  exchange: (message: PeerMessage) => Promise<Result<PeerMessage>>
  /** Fails with BundleNotFound if the peer has no bundle of this version. Version 0 asks for the active one. */
  fetchBundle: (version: number) => Promise<Result<FetchedBundle>>
  /** JSON text. */
  dump: () => Promise<Result<string>>
  status: () => Promise<Result<PeerStatus>>
  /** Ends the session and the calls in progress. */
  close: () => void
}

/** Creates a client. No connection is opened before the first call. */
export function createPeerClient ({ address, key, timeoutMilliseconds }: CreatePeerClientOptions): PeerClient {
  const baseUrl = `http://${address}`
  const sessionManager = new Http2SessionManager(baseUrl, { idleConnectionTimeoutMs: limits.clientIdleMilliseconds })
  const client = createClient(Peer, createConnectTransport({
    baseUrl,
    httpVersion: '2',
    sessionManager,
    acceptCompression: [],
    readMaxBytes: limits.maximumAnswerBytes,
    writeMaxBytes: limits.maximumRequestBytes,
    defaultTimeoutMs: timeoutMilliseconds
  }))
  const headers = { authorization: formatBearer(key) }
  const bulkTimeout = Math.max(timeoutMilliseconds, limits.bulkCallMilliseconds)
  let closed = false

  const call = async <Value>(send: () => Promise<Result<Value>>, codeIfNotFound = ResultCode.HostUnreachable): Promise<Result<Value>> => {
    if (closed) return fail(ResultCode.HostUnreachable, 'the client is closed', { key: address })
    try {
      return await send()
    } catch (error) {
      const { code, rawMessage } = ConnectError.from(error)
      if (code === Code.DeadlineExceeded) sessionManager.abort()
      const resultCode = code === Code.Unauthenticated ? ResultCode.NotAuthorized : code === Code.NotFound ? codeIfNotFound : ResultCode.HostUnreachable
      return fail(resultCode, rawMessage, { key: address })
    }
  }

  return {
    address,
    exchange: message => call(async () => describeInvalid(unpackPeerMessage(await client.exchange(packPeerMessage(message), { headers })), address)),
    fetchBundle: version => call(async () => {
      const answer = await client.fetchBundle({ version: BigInt(version) }, { headers, timeoutMs: bulkTimeout })
      return succeed({ version: Number(answer.version), bundle: answer.bundle })
    }, ResultCode.BundleNotFound),
    dump: () => call(async () => succeed(new TextDecoder().decode((await client.dump({}, { headers, timeoutMs: bulkTimeout })).state))),
    status: () => call(async () => describeInvalid(unpackPeerStatus(await client.status({}, { headers })), address)),
    close: () => {
      closed = true
      sessionManager.abort()
    }
  }
}

function describeInvalid<Value> (result: Result<Value>, address: string): Result<Value> {
  return result.ok ? result : fail(ResultCode.HostUnreachable, `the answer is invalid: ${formatCodedError(result.error)}`, { key: address })
}
