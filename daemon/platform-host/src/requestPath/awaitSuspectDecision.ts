// Decides how a request may be sent that was in flight on servers when they ended. It waits while the hosts exchange their reports.
import { SendDecisionKind, type SendDecision } from '@siskinbeam/crash-suspects/decideSuspectSend'
import type { GuestExchange } from './guestExchange.js'

export interface SuspectDecision {
  isRefused: boolean
  /** Address of the only server that the request may be sent to; undefined if any will do. */
  onlyAddress: string | undefined
}

type Handlers = { [Kind in SendDecisionKind]: (exchange: GuestExchange, decision: Extract<SendDecision, { kind: Kind }>) => SuspectDecision | Promise<SuspectDecision> }

const handlers: Handlers = {
  [SendDecisionKind.Free]: () => ({ isRefused: false, onlyAddress: undefined }),
  [SendDecisionKind.Held]: async (exchange, { until }) => {
    await new Promise(resolve => setTimeout(resolve, Math.max(1, until - exchange.host.now())))
    return awaitSuspectDecision(exchange)
  },
  [SendDecisionKind.Isolated]: (_exchange, { server }) => ({ isRefused: false, onlyAddress: server }),
  [SendDecisionKind.Refused]: () => ({ isRefused: true, onlyAddress: undefined })
}

/** Decides whether the request may be sent, and to which server. Resolves at once for a request that is no suspect. */
export async function awaitSuspectDecision (exchange: GuestExchange): Promise<SuspectDecision> {
  const decision = decideNow(exchange)
  if (exchange.finished || exchange.deadlineAt <= exchange.host.now()) return { isRefused: false, onlyAddress: undefined }
  return (handlers[decision.kind] as (exchange: GuestExchange, decision: SendDecision) => SuspectDecision | Promise<SuspectDecision>)(exchange, decision)
}

/** Whether the request is refused by what is known at this moment. */
export function isRefusedNow (exchange: GuestExchange): boolean {
  return decideNow(exchange).kind === SendDecisionKind.Refused
}

function decideNow (exchange: GuestExchange): SendDecision {
  const { host, service } = exchange
  return host.crashes.decide(exchange, () => host.endpoints.listService(service).filter(endpoint => endpoint.acceptsRequests()).map(({ server }) => server.address))
}
