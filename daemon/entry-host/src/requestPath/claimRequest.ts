// Claims a non-idempotent request with an idempotency key in the table service before it is sent.
import { AdmissionEventKind } from '@siskinbeam/admission/admissionTypes'
import type { StoredResponse } from '@siskinbeam/request-claims/claimRow'
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import { sendErrorResponse, computeRefusalOutcome } from './sendErrorResponse.js'
import { handleAdmissionEvent } from './admitRequest.js'
import { fingerprintExchange } from './fingerprintExchange.js'
import { finishExchange, needsClaim, type Exchange, type Filter } from './exchange.js'

/** The filter that claims a request. Requests that need no claim are passed on immediately. */
export const claimRequest: Filter = (exchange, next) => {
  const { host, service, idempotencyKey } = exchange
  const active = host.activeBundle()
  if (!needsClaim(exchange) || service === undefined || idempotencyKey === undefined || active === undefined) return next()
  const { configuration } = service
  // During an outage of the table service, the claim may take long; other requests may use the slot meanwhile.
  handleAdmissionEvent(host, service, { kind: AdmissionEventKind.Paused, requestId: exchange.exchangeId })
  exchange.claim = host.claims.start({
    service: configuration.name,
    idempotencyKey,
    fingerprint: fingerprintExchange(exchange),
    ...(exchange.guestAttempt === undefined ? {} : { guestAttempt: exchange.guestAttempt }),
    sendBy: exchange.deadlineAt,
    recordLifetimeMilliseconds: configuration.recordLifetimeSeconds * 1_000,
    storeOutage: configuration.storeOutage,
    tableAnswerMilliseconds: active.bundle.platform.tableAnswerMilliseconds
  }, {
    onSend: () => {
      // If an attempt was not started, the dispatch itself decides on the retry.
      if (exchange.onAdmitted !== undefined) return
      exchange.onAdmitted = next
      handleAdmissionEvent(host, service, { kind: AdmissionEventKind.Resumed, requestId: exchange.exchangeId, refusalOutcome: computeRefusalOutcome(exchange, Outcome.NotRun) })
    },
    onError: error => sendErrorResponse(exchange, error),
    onReplay: stored => replayResponse(exchange, stored)
  })
}

function replayResponse (exchange: Exchange, stored: StoredResponse): void {
  const { response, requestId } = exchange
  if (exchange.finished || response.destroyed) return finishExchange(exchange)
  const body = Buffer.from(stored.body ?? '', 'base64')
  response.writeHead(stored.status, {
    ...stored.headers,
    'content-length': body.length,
    'siskinbeam-request-id': requestId,
    'siskinbeam-replayed': 'true'
  })
  response.end(body)
  exchange.host.metrics.count('answers_replayed_total')
  finishExchange(exchange)
}
