// Cancels the attempts of a request that have no response yet.
import { ChoiceEventKind, CompletionKind } from '@siskinbeam/server-choice/choiceState'
import { recordEndedSend } from '../servers/checkServerDeath.js'
import { handleChoiceEvent } from '../servers/observeServers.js'
import type { Dispatch } from './dispatchState.js'

/** Cancels all open attempts by closing their connections, which servers treat as cancellation of the request. */
export function cancelOpenAttempts (dispatch: Dispatch): void {
  const { host, service } = dispatch
  dispatch.openAttempts.forEach(openAttempt => {
    openAttempt.attempt.cancel()
    if (openAttempt.server.openSends.delete(openAttempt)) recordEndedSend(host, openAttempt)
    handleChoiceEvent(host, service, {
      kind: ChoiceEventKind.Completed,
      server: openAttempt.server.configuration.name,
      latencyMilliseconds: host.now() - openAttempt.startedAt,
      completion: CompletionKind.Cancelled
    })
  })
  dispatch.openAttempts.clear()
}
