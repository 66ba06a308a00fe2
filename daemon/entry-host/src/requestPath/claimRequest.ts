// Claims a non-idempotent request that has an idempotency key, before it may be sent.
import { createHash } from 'node:crypto'
import type { StoredAnswer } from '@siskinbeam/request-claims/claimRow'
import { accountFor } from './accountFor.js'
import { finishExchange, needsClaim, type Exchange, type Filter } from './exchange.js'

/** Digest of method, path and body: two requests with one key must not differ in it. */
export function computeFingerprint (exchange: Exchange): string {
  return createHash('sha256')
    .update(`${exchange.request.method} ${exchange.request.url}\n`)
    .update(exchange.body ?? '')
    .digest('hex')
}

/** The filter that claims a request. Those that need no claim pass at once. */
export const claimRequest: Filter = (exchange, next) => {
  const { host, service, key } = exchange
  const active = host.activeBundle()
  if (!needsClaim(exchange) || service === undefined || key === undefined || active === undefined) return next()
  const { rule } = service
  exchange.claim = host.claims.start({
    service: rule.name,
    idempotencyKey: key,
    fingerprint: computeFingerprint(exchange),
    ...(exchange.guestAttempt === undefined ? {} : { guestAttempt: exchange.guestAttempt }),
    sendBy: exchange.deadlineAt,
    recordLifetimeMilliseconds: rule.recordLifetimeSeconds * 1_000,
    storeOutage: rule.storeOutage,
    tableAnswerMilliseconds: active.bundle.platform.tableAnswerMilliseconds
  }, {
    onSend: () => {
      if (exchange.sendAgain !== undefined) exchange.sendAgain()
      else next()
    },
    onAnswer: account => accountFor(exchange, account),
    onReplay: answer => replayAnswer(exchange, answer)
  })
}

function replayAnswer (exchange: Exchange, answer: StoredAnswer): void {
  const { response, requestId } = exchange
  if (exchange.finished || response.destroyed) return finishExchange(exchange)
  const body = Buffer.from(answer.body ?? '', 'base64')
  response.writeHead(answer.status, {
    ...answer.headers,
    'content-length': body.length,
    'siskinbeam-request-id': requestId,
    'siskinbeam-replayed': 'true'
  })
  response.end(body)
  exchange.host.metrics.count('answers_replayed_total')
  finishExchange(exchange)
}
