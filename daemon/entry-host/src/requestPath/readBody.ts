// Buffers small request bodies, so that the request can be retried and its digest is known. Larger bodies are streamed
// to a single server with backpressure.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { sendErrorResponse } from './sendErrorResponse.js'
import { needsClaim, type Exchange, type Filter } from './exchange.js'

const maximumBufferedBytes = 65_536
const maximumClaimedBodyBytes = 1_048_576
const noBody = Buffer.alloc(0)

/** The filter that buffers the body, or passes the request on for streaming. */
export const readBody: Filter = (exchange, next) => {
  const { request } = exchange
  const contentLength = request.headers['content-length']
  const isChunked = request.headers['transfer-encoding'] !== undefined
  if (!isChunked && (contentLength === undefined || contentLength === '0')) {
    exchange.body = noBody
    return next()
  }
  const limit = needsClaim(exchange)
    ? Math.min(maximumClaimedBodyBytes, exchange.service?.configuration.maximumBodyBytes ?? 0)
    : exchange.service?.configuration.maximumBodyBytes ?? 0
  if (contentLength !== undefined && Number(contentLength) > limit) return refuseBody(exchange, limit)
  if (!needsClaim(exchange) && (isChunked || Number(contentLength) > maximumBufferedBytes)) return next()

  const timer = setTimeout(sendErrorResponse, Math.max(0, exchange.deadlineAt - exchange.host.now()), exchange, {
    code: ResultCode.DeadlineExceededBeforeSend, message: 'the body did not arrive by the deadline'
  })
  exchange.onFinished.push(() => clearTimeout(timer))
  const chunks: Buffer[] = []
  let length = 0
  request.on('data', (chunk: Buffer) => {
    length += chunk.length
    if (length > limit) {
      request.pause()
      refuseBody(exchange, limit)
    } else if (!exchange.finished) {
      chunks.push(chunk)
    }
  })
  request.on('end', () => {
    clearTimeout(timer)
    if (exchange.finished) return
    exchange.body = chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks)
    next()
  })
}

function refuseBody (exchange: Exchange, limit: number): void {
  sendErrorResponse(exchange, { code: ResultCode.BodyTooLarge, message: `the body is over ${limit} bytes` })
}
