// Filter: reads the whole body of a request, so that a server that declares it not run can be followed by another.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { Filter } from './guestExchange.js'
import { refuse } from './refuse.js'

/** Bodies of all requests that are kept at a time; a small host has about 100 MB for everything. */
const maximumBufferedBytes = 33_554_432
let bufferedBytes = 0

export const bufferBody: Filter = (exchange, next) => {
  const { request, response, host } = exchange
  const limit = host.routes()?.configuration.limits.maximumBodyBytes ?? 0
  const chunks: Buffer[] = []
  let bytes = 0
  let tooLarge = false
  response.once('close', () => { bufferedBytes -= bytes })
  request.on('data', (chunk: Buffer) => {
    if (tooLarge) return
    bytes += chunk.length
    bufferedBytes += chunk.length
    chunks.push(chunk)
    if (bytes <= limit && bufferedBytes <= maximumBufferedBytes) return
    tooLarge = true
    chunks.length = 0
    response.shouldKeepAlive = false
    refuse(exchange, bytes > limit
      ? { code: ResultCode.BodyTooLarge, reason: `the body exceeds ${limit} bytes` }
      : { code: ResultCode.Overloaded, reason: 'the bodies of other requests fill the memory for them' })
  })
  request.on('end', () => {
    if (tooLarge || exchange.finished) return
    exchange.body = bytes === 0 ? undefined : Buffer.concat(chunks)
    next(exchange)
  })
}
