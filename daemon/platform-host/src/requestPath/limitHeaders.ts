// Filter: refuses a request whose head exceeds the limit of the configuration.
import { hasWaitingRequest } from '@siskinbeam/message-heads/guardServer'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { Filter } from './guestExchange.js'
import { refuse } from './refuse.js'

export const limitHeaders: Filter = (exchange, next) => {
  const { request, response, host } = exchange
  const limit = host.routes()?.configuration.limits.maximumHeaderBytes
  // Separators and line ends are not counted, like in the limit of Node's parser.
  const bytes = request.rawHeaders.reduce((sum, text) => sum + text.length, (request.url ?? '').length)
  if (limit === undefined || bytes <= limit) {
    next(exchange)
    return
  }
  if (!hasWaitingRequest(request.socket)) response.shouldKeepAlive = false
  refuse(exchange, { code: ResultCode.HeadersTooLarge, reason: `request head of ${bytes} bytes exceeds ${limit}` })
}
