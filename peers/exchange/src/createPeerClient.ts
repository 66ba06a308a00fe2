// Client of one peer. All calls share one HTTP/2 session, which is opened by the first call. After a timeout the
// session is aborted, because a connection may stay unresponsive while new connections work.
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
  /** Timeout of exchange and status calls, including the time to open the session. Calls for bundles and dumps have at least 2 s. */
  timeoutMilliseconds: number
}

/** Client of one peer. Calls never throw; they fail with NotAuthorized (604) or HostUnreachable (605). */
export interface PeerClient {
  address: string
  exchange: (message: PeerMessage) => Promise<Result<PeerMessage>>
  /** Fails with BundleNotFound if the peer has no bundle of this version. Version 0 requests the active bundle. */
  fetchBundle: (version: number) => Promise<Result<FetchedBundle>>
  /** Returns JSON text. */
  dump: () => Promise<Result<string>>
  status: () => Promise<Result<PeerStatus>>
  /** Aborts the session and the calls in progress. */
  close: () => void
}

/** Creates a client. The connection is opened by the first call. */
export function createPeerClient ({ address, key, timeoutMilliseconds }: CreatePeerClientOptions): PeerClient {
  const baseUrl = `http://${address}`
  const sessionManager = new Http2SessionManager(baseUrl, { idleConnectionTimeoutMs: limits.clientSessionIdleMilliseconds })
  const client = createClient(Peer, createConnectTransport({
    baseUrl,
    httpVersion: '2',
    sessionManager,
    acceptCompression: [],
    readMaxBytes: limits.maximumResponseBytes,
    writeMaxBytes: limits.maximumRequestBytes,
    defaultTimeoutMs: timeoutMilliseconds
  }))
  const headers = { authorization: formatBearer(key) }
  const bulkTimeoutMilliseconds = Math.max(timeoutMilliseconds, limits.bulkCallTimeoutMilliseconds)
  let closed = false

  const call = async <Value>(send: () => Promise<Result<Value>>, notFoundCode = ResultCode.HostUnreachable): Promise<Result<Value>> => {
    if (closed) return fail(ResultCode.HostUnreachable, 'the client is closed', { key: address })
    try {
      return await send()
    } catch (error) {
      const { code, rawMessage } = ConnectError.from(error)
      if (code === Code.DeadlineExceeded) sessionManager.abort()
      const resultCode = code === Code.Unauthenticated ? ResultCode.NotAuthorized : code === Code.NotFound ? notFoundCode : ResultCode.HostUnreachable
      return fail(resultCode, rawMessage, { key: address })
    }
  }

  return {
    address,
    exchange: message => call(async () => reportInvalidResponse(unpackPeerMessage(await client.exchange(packPeerMessage(message), { headers })), address)),
    fetchBundle: version => call(async () => {
      const response = await client.fetchBundle({ version: BigInt(version) }, { headers, timeoutMs: bulkTimeoutMilliseconds })
      return succeed({ version: Number(response.version), bundle: response.bundle })
    }, ResultCode.BundleNotFound),
    dump: () => call(async () => succeed(new TextDecoder().decode((await client.dump({}, { headers, timeoutMs: bulkTimeoutMilliseconds })).state))),
    status: () => call(async () => reportInvalidResponse(unpackPeerStatus(await client.status({}, { headers })), address)),
    close: () => {
      closed = true
      sessionManager.abort()
    }
  }
}

function reportInvalidResponse<Value> (result: Result<Value>, address: string): Result<Value> {
  return result.ok ? result : fail(ResultCode.HostUnreachable, `invalid response: ${formatCodedError(result.error)}`, { key: address })
}
