// Serves a request by way of another host if this one reaches no server of the service. A table of handlers decides what follows each outcome.
import { describeResultCode } from '@siskinbeam/result-codes/describeResultCode'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { ForwardOutcome, forwardToPeer, type ForwardResult } from '../peerForwarding/forwardToPeer.js'
import { canRepeat, refuseNotRun, type PendingRequest } from './pendingRequest.js'
import { refuse } from './refuse.js'
import { relayResponse } from './relayResponse.js'

/** Time after which a service without servers within reach may have some again. */
const retryAfterMilliseconds = 400

export enum Forwarding {
  /** The guest has its response, or gets none since it has left. */
  Ended,
  /** The request may be sent once more. */
  Repeat,
  /** This host has to try by itself. */
  NotPossible
}

type ForwardHandler<Outcome extends ForwardOutcome> = (pending: PendingRequest, result: Extract<ForwardResult, { outcome: Outcome }>) => Forwarding

const forwardHandlers: { [Outcome in ForwardOutcome]: ForwardHandler<Outcome> } = {
  [ForwardOutcome.Responded]: ({ exchange }, { received, server }) => {
    relayResponse(exchange, received, { id: server })
    return Forwarding.Ended
  },
  [ForwardOutcome.Refused]: (pending, { code, retryAfterMilliseconds: named }) => {
    if (describeResultCode(code).outcome === Outcome.NotRun) refuseNotRun(pending, code, 'refused by another host', named ?? retryAfterMilliseconds)
    else refuse(pending.exchange, { code, reason: 'failed at another host' })
    return Forwarding.Ended
  },
  [ForwardOutcome.Unavailable]: (pending, { isConfirmed }) => {
    const { host, service } = pending.exchange
    if (!isConfirmed || !host.reachedServers.isLastinglyOutOfReach(service)) return Forwarding.NotPossible
    refuseNotRun(pending, ResultCode.NoServer, 'no host that was asked reaches a server of the service', retryAfterMilliseconds)
    return Forwarding.Ended
  },
  [ForwardOutcome.Broken]: (pending, { reason }) => {
    pending.mayHaveRun = true
    if (canRepeat(pending)) return Forwarding.Repeat
    refuse(pending.exchange, { code: ResultCode.ServerFailedAfterSend, reason })
    return Forwarding.Ended
  },
  [ForwardOutcome.TimedOut]: ({ exchange }, { reason }) => {
    refuse(exchange, { code: ResultCode.ServerTimedOut, reason })
    return Forwarding.Ended
  },
  [ForwardOutcome.Cancelled]: () => Forwarding.Ended
}

/** Has another host send the request. A request that another host has forwarded to this one is not forwarded again. */
export async function forwardByPeer (pending: PendingRequest): Promise<Forwarding> {
  const { exchange } = pending
  const isLasting = exchange.host.reachedServers.isLastinglyOutOfReach(exchange.service)
  if (exchange.forwarded !== undefined) {
    if (!isLasting) return Forwarding.NotPossible
    refuseNotRun(pending, ResultCode.NoServer, 'no server of the service is within reach', retryAfterMilliseconds)
    return Forwarding.Ended
  }
  const result = await forwardToPeer(exchange)
  if (exchange.finished) {
    if ('received' in result) result.received.rest?.discard()
    return Forwarding.Ended
  }
  return forwardHandlers[result.outcome](pending, result as never)
}
