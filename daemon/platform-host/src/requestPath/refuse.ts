// Answers that the host makes itself. Each carries its result code, and a status that promises "not run"
// is given only for codes whose request no server has started or will start.
import { describeResultCode } from '@siskinbeam/result-codes/describeResultCode'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { requestIdHeader } from '@siskinbeam/platform-adapter/guestDialect'
import type { GuestExchange } from './guestExchange.js'

export interface RefuseOptions {
  code: ResultCode
  /** What decided it; for the log. */
  reason: string
  /** When the guest may try again. */
  retryAfterMilliseconds?: number
}

const defaultRetryAfterMilliseconds = 150
const unavailableStatus = 503

/** Ends an exchange with an answer of the host's own. */
export function refuse (exchange: GuestExchange, { code, reason, retryAfterMilliseconds = defaultRetryAfterMilliseconds }: RefuseOptions): void {
  if (exchange.finished) return
  exchange.finished = true
  const { host, response } = exchange
  const { status = unavailableStatus, outcome = Outcome.Unknown, meaning } = describeResultCode(code)
  host.metrics.count(`refusals_total{code="${code}"}`)
  host.logger.info('request refused', {
    request: exchange.requestId,
    route: exchange.route?.name,
    service: exchange.service,
    code,
    status,
    outcome,
    reason,
    sends: exchange.sends,
    ...exchange.choiceLogFields,
    milliseconds: Math.round(host.now() - exchange.receivedAt),
    configuration: host.routes()?.configuration.version
  })
  const body = JSON.stringify({ code, name: ResultCode[code], outcome, meaning })
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...(exchange.requestId === '' ? {} : { [requestIdHeader]: exchange.requestId }),
    ...(status === unavailableStatus ? { 'retry-after': (retryAfterMilliseconds / 1_000).toFixed(3) } : {}),
    ...(host.isShuttingDown() ? { connection: 'close' } : {})
  })
  response.end(body)
}
