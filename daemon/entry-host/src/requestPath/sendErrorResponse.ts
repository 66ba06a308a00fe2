// Sends the response for a request that siskinbeam refused or that failed. The siskinbeam-account header and the
// JSON body state a numeric code, whether the request ran, and when and where to retry it.
import { describeResultCode } from '@siskinbeam/result-codes/describeResultCode'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { decideOutcomeWithoutClaim } from '@siskinbeam/request-claims/decideOutcome'
import type { ErrorResponse } from './errorResponse.js'
import { closesConnection, finishExchange, type Exchange } from './exchange.js'

/** Formats the siskinbeam-account header. */
export function formatAccountHeader (code: ResultCode, outcome: Outcome, requestId: string): string {
  return `code=${code}; name=${ResultCode[code]}; outcome=${outcome}; request=${requestId}`
}

/** Sends an error response to the guest and ends the exchange. If response headers were already sent, closes the connection. */
export function sendErrorResponse (exchange: Exchange, error: ErrorResponse): void {
  const { host, response, requestId } = exchange
  if (exchange.finished) return
  const description = describeResultCode(error.code)
  const outcome = error.outcome ?? computeRefusalOutcome(exchange, description.outcome ?? Outcome.Unknown)
  checkInvariant({
    invariant: Invariant.NotRunIsTrue,
    holds: outcome !== Outcome.NotRun || exchange.sends === 0 || exchange.provablyNotStarted === exchange.sends,
    detail: () => `request ${requestId} was sent ${exchange.sends} times, of which ${exchange.provablyNotStarted} provably did not start`
  })
  host.metrics.count(`accounts_total{code="${error.code}"}`)
  host.logger.info('request accounted for', {
    request: requestId,
    code: error.code,
    name: ResultCode[error.code],
    outcome,
    service: exchange.service?.configuration.name,
    reason: error.message
  })
  if (response.headersSent || response.destroyed) {
    response.destroy()
    finishExchange(exchange)
    return
  }
  const body = JSON.stringify({
    code: error.code,
    name: ResultCode[error.code],
    outcome,
    requestId,
    message: error.message,
    retryAfterMilliseconds: error.retryAfterMilliseconds,
    addresses: host.listAddresses(undefined).addresses
  })
  response.writeHead(description.status ?? 500, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'siskinbeam-request-id': requestId,
    'siskinbeam-account': formatAccountHeader(error.code, outcome, requestId),
    ...(error.retryAfterMilliseconds === undefined ? {} : { 'retry-after': String(Math.ceil(error.retryAfterMilliseconds / 1_000)) }),
    ...(closesConnection(exchange) ? { connection: 'close' } : {})
  })
  response.end(body)
  finishExchange(exchange)
}

/**
 * Returns the outcome that a refusal may state. A request with an idempotency key that is refused before its claim
 * may have run through another host, unless the guest states that this is the first attempt with the key.
 */
export function computeRefusalOutcome (exchange: Exchange, outcome: Outcome): Outcome {
  // The route is unknown if the host has no bundle or is shutting down.
  const mayHaveRunElsewhere = exchange.idempotencyKey !== undefined && exchange.route?.idempotent !== true
  return outcome === Outcome.NotRun && mayHaveRunElsewhere ? decideOutcomeWithoutClaim(exchange.guestAttempt) : outcome
}
