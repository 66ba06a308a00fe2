// Filter: buffers the whole body of a request, so that it can be sent to another server if the first one did not run it.
import { ByteUse, openByteAccount } from '@siskinbeam/byte-budget/byteBudget'
import { hasWaitingRequest } from '@siskinbeam/message-heads/guardServer'
import { setTimeoutAfterPoll } from '@siskinbeam/processes/setTimeoutAfterPoll'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { Filter } from './guestExchange.js'
import { onGuestDone } from './onGuestDone.js'
import { refuse } from './refuse.js'

export const bufferBody: Filter = (exchange, next) => {
  const { request, response, host } = exchange
  const limit = host.routes()?.configuration.limits.maximumBodyBytes ?? 0
  const chunks: Buffer[] = []
  let bytes = 0
  let tooLarge = false
  const account = openByteAccount(host.byteBudget)
  const expiry = setTimeoutAfterPoll(() => {
    if (exchange.finished || request.complete) return
    chunks.length = 0
    account.close()
    // The rest of the body is not awaited, so the connection cannot be used further.
    response.shouldKeepAlive = false
    refuse(exchange, { code: ResultCode.DeadlineExceededBeforeSend, reason: 'the body did not arrive before the deadline' })
  }, Math.max(0, exchange.deadlineAt - host.now()))
  onGuestDone(exchange, () => {
    clearTimeout(expiry)
    account.close()
  })
  request.on('data', (chunk: Buffer) => {
    if (tooLarge || exchange.finished) return
    bytes += chunk.length
    chunks.push(chunk)
    if (bytes <= limit && account.take(ByteUse.RequestBody, chunk.length)) return
    tooLarge = true
    chunks.length = 0
    if (!hasWaitingRequest(request.socket)) response.shouldKeepAlive = false
    refuse(exchange, bytes > limit
      ? { code: ResultCode.BodyTooLarge, reason: `request body exceeds ${limit} bytes` }
      : { code: ResultCode.Overloaded, reason: 'buffered request bodies have reached their memory limit' })
  })
  request.on('end', () => {
    clearTimeout(expiry)
    if (tooLarge || exchange.finished) return
    exchange.body = bytes === 0 ? undefined : Buffer.concat(chunks)
    next(exchange)
  })
}
