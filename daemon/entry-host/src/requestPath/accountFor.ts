// The account of a request that siskinbeam refuses or that failed: a numbered code, whether the
// request ran, and when and where to try again, in a header and in a JSON body.
import { describeResultCode } from '@siskinbeam/result-codes/describeResultCode'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { decideOutcomeWithoutClaim } from '@siskinbeam/request-claims/decideOutcome'
import type { Account } from './account.js'
import { finishExchange, type Exchange } from './exchange.js'

/** Formats the siskinbeam-account header. */
export function formatAccountHeader (code: ResultCode, outcome: Outcome, requestId: string): string {
  return `code=${code}; name=${ResultCode[code]}; outcome=${outcome}; request=${requestId}`
}

/** Answers the guest with an account and ends the exchange. */
export function accountFor (exchange: Exchange, account: Account): void {
  const { host, request, response, requestId } = exchange
  if (exchange.finished) return
  const description = describeResultCode(account.code)
  const outcome = account.outcome ?? decideOutcome(exchange, description.outcome ?? Outcome.Unknown)
  checkInvariant({
    invariant: Invariant.NotRunIsTrue,
    holds: outcome !== Outcome.NotRun || exchange.sends === 0 || exchange.provablyNotStarted === exchange.sends,
    detail: () => `request ${requestId} was sent ${exchange.sends} times, ${exchange.provablyNotStarted} provably not started`
  })
  host.metrics.count(`accounts_total{code="${account.code}"}`)
  host.logger.info('request accounted for', {
    request: requestId,
    code: account.code,
    name: ResultCode[account.code],
    outcome,
    service: exchange.service?.rule.name,
    reason: account.message
  })
  if (response.headersSent || response.destroyed) {
    response.destroy()
    finishExchange(exchange)
    return
  }
  const body = JSON.stringify({
    code: account.code,
    name: ResultCode[account.code],
    outcome,
    requestId,
    message: account.message,
    retryAfterMilliseconds: account.retryAfterMilliseconds,
    addresses: host.listAddresses(undefined).addresses
  })
  response.writeHead(description.status ?? 500, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'siskinbeam-request-id': requestId,
    'siskinbeam-account': formatAccountHeader(account.code, outcome, requestId),
    ...(account.retryAfterMilliseconds === undefined ? {} : { 'retry-after': String(Math.ceil(account.retryAfterMilliseconds / 1_000)) }),
    // A body that was not read to its end would be taken for the next request of the connection.
    ...(request.complete && !host.leaving() ? {} : { connection: 'close' })
  })
  response.end(body)
  finishExchange(exchange)
}

// A keyed request that is refused before its claim may have run through another host, unless the guest
// says that it sends the key for the first time.
/** What a refusal may say of the request. */
export function decideOutcome (exchange: Exchange, outcome: Outcome): Outcome {
  // A host without a bundle, or one that is leaving, refuses before it knows the route.
  const mayHaveRunElsewhere = exchange.key !== undefined && exchange.route?.idempotent !== true
  return outcome === Outcome.NotRun && mayHaveRunElsewhere ? decideOutcomeWithoutClaim(exchange.guestAttempt) : outcome
}
