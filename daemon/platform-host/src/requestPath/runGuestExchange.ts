// Runs the request of a guest on a connection to a server, or to a host that sends it to one. Guests that leave cancel it, and what is
// buffered of the response is in the byte budget until the guest has got it.
import { ByteUse, openByteAccount } from '@siskinbeam/byte-budget/byteBudget'
import { readResponseMetadata } from '@siskinbeam/platform-adapter/serverProtocol'
import { LargeBody, type ExchangeResult, type ServerConnection } from '../servers/serverConnection.js'
import type { GuestExchange } from './guestExchange.js'
import { onGuestDone } from './onGuestDone.js'

export interface RunGuestExchangeOptions {
  connection: ServerConnection
  /** Alternating names and values, without the length of the body. */
  headers: string[]
  timeoutMilliseconds: number
}

export type StreamedResult = ExchangeResult<LargeBody.Stream>

/** Responses up to this size are buffered until they are complete, so that the request can be retried if one is cut off. */
const acceptedBodyBytes = 262_144

export async function runGuestExchange (exchange: GuestExchange, { connection, headers, timeoutMilliseconds }: RunGuestExchangeOptions): Promise<StreamedResult> {
  const { host, request } = exchange
  const cancels: Array<() => void> = []
  const account = openByteAccount(host.byteBudget)
  const result = await connection.runExchange({
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: [
      ...headers,
      ...(exchange.body === undefined && request.headers['content-length'] === undefined ? [] : ['Content-Length', String(exchange.body?.length ?? 0)])
    ],
    body: exchange.body,
    timeoutMilliseconds: Math.max(1, timeoutMilliseconds),
    acceptedBodyBytes,
    takeBytes: bytes => account.take(ByteUse.Response, bytes),
    largeBody: LargeBody.Stream,
    isMatchingResponse: (status, responseHeaders) => readResponseMetadata(status, responseHeaders).requestId === (exchange.requestId === '' ? undefined : exchange.requestId),
    onStarted: cancel => {
      cancels.push(cancel)
      exchange.cancelSends.add(cancel)
    }
  })
  // A response is held until the guest has got it. Without a guest, it ends with the send.
  onGuestDone(exchange, account.close)
  cancels.forEach(cancel => exchange.cancelSends.delete(cancel))
  return result
}
