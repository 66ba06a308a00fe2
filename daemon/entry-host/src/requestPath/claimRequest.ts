// Claims a non-idempotent request that has an idempotency key, before it may be sent.
import { AdmissionEventKind } from '@siskinbeam/admission/admissionTypes'
import type { StoredResponse } from '@siskinbeam/request-claims/claimRow'
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import { accountFor, decideOutcome } from './accountFor.js'
import { feedAdmission } from './admitRequest.js'
import { fingerprintExchange } from './fingerprintExchange.js'
import { finishExchange, needsClaim, type Exchange, type Filter } from './exchange.js'

/** The filter that claims a request. Those that need no claim pass at once. */
export const claimRequest: Filter = (exchange, next) => {
  const { host, service, key } = exchange
  const active = host.activeBundle()
  if (!needsClaim(exchange) || service === undefined || key === undefined || active === undefined) return next()
  const { rule } = service
  // The claim may take as long as an outage of the table service; others use the slot meanwhile.
  feedAdmission(host, service, { kind: AdmissionEventKind.Paused, requestId: exchange.number })
  exchange.claim = host.claims.start({
    service: rule.name,
    idempotencyKey: key,
    fingerprint: fingerprintExchange(exchange),
    ...(exchange.guestAttempt === undefined ? {} : { guestAttempt: exchange.guestAttempt }),
    sendBy: exchange.deadlineAt,
    recordLifetimeMilliseconds: rule.recordLifetimeSeconds * 1_000,
    storeOutage: rule.storeOutage,
    tableAnswerMilliseconds: active.bundle.platform.tableAnswerMilliseconds
  }, {
    onSend: () => {
      // After a send that was not started, the dispatch itself decides on the next.
      if (exchange.onAdmitted !== undefined) return
      exchange.onAdmitted = next
      feedAdmission(host, service, { kind: AdmissionEventKind.Resumed, requestId: exchange.number, refusalOutcome: decideOutcome(exchange, Outcome.NotRun) })
    },
    onAnswer: account => accountFor(exchange, account),
    onReplay: answer => replayAnswer(exchange, answer)
  })
}

function replayAnswer (exchange: Exchange, answer: StoredResponse): void {
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
