// Reads small bodies whole, so that the request can be sent to another server and its digest is
// known; larger ones are streamed to a single server with backpressure.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { accountFor } from './accountFor.js'
import { needsClaim, type Exchange, type Filter } from './exchange.js'

const longestBufferedBytes = 65_536
const longestKeyedBytes = 1_048_576
const noBody = Buffer.alloc(0)

/** The filter that reads the body, or leaves it to be streamed. */
export const readBody: Filter = (exchange, next) => {
  const { request } = exchange
  const stated = request.headers['content-length']
  const chunked = request.headers['transfer-encoding'] !== undefined
  if (!chunked && (stated === undefined || stated === '0')) {
    exchange.body = noBody
    return next()
  }
  const limit = needsClaim(exchange)
    ? Math.min(longestKeyedBytes, exchange.service?.rule.maximumBodyBytes ?? 0)
    : exchange.service?.rule.maximumBodyBytes ?? 0
  if (stated !== undefined && Number(stated) > limit) return refuseBody(exchange, limit)
  if (!needsClaim(exchange) && (chunked || Number(stated) > longestBufferedBytes)) return next()

  const timer = setTimeout(accountFor, Math.max(0, exchange.deadlineAt - exchange.host.now()), exchange, {
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
  accountFor(exchange, { code: ResultCode.BodyTooLarge, message: `the body is over ${limit} bytes` })
}
