// Restricts the sending of requests that are suspected of crashing servers.
import { decideSuspectSend, SendDecisionKind, type SendDecision } from '@siskinbeam/crash-suspects/decideSuspectSend'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { readAvailableWeight } from '../servers/pausedServers.js'
import { failRequest, schedule, type Dispatch } from './dispatchState.js'

/** Calls `send`, now or later, with the server that a suspect must be sent to (undefined for any), or fails the request. */
export function decideIsolation (dispatch: Dispatch, send: (server: string | undefined) => void): void {
  const { host, service } = dispatch
  if (host.crashes.suspects.size === 0) return send(undefined)
  const decision = decideSuspectSend({
    state: host.crashes,
    fingerprint: dispatch.fingerprint(),
    servers: [...service.servers.keys()].filter(name => readAvailableWeight(host, service, name) > 0),
    now: host.now()
  })
  const handlers: { [Kind in SendDecisionKind]: (decision: Extract<SendDecision, { kind: Kind }>) => void } = {
    [SendDecisionKind.Free]: () => {
      dispatch.isolated = false
      send(undefined)
    },
    [SendDecisionKind.Held]: ({ until }) => schedule(dispatch, until - host.now(), () => decideIsolation(dispatch, send)),
    [SendDecisionKind.Isolated]: ({ server }) => {
      dispatch.isolated = true
      send(server !== undefined && dispatch.triedServers.includes(server) ? undefined : server)
    },
    [SendDecisionKind.Refused]: () => {
      host.metrics.count('crash_suspects_refused_total')
      failRequest(dispatch, { code: ResultCode.CrashSuspect, message: 'servers died while they ran this request' })
    }
  }
  ;(handlers[decision.kind] as (decision: SendDecision) => void)(decision)
}
