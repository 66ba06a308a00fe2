// Gives up the sends of a request that are not answered yet.
import { ChoiceEventKind, CompletionKind } from '@siskinbeam/server-choice/choiceState'
import { feedChoice } from '../servers/observeServers.js'
import type { Dispatch } from './dispatchState.js'

/** Gives up the sends that are still open; servers take the close of the connection as cancellation. */
export function cancelOpen (dispatch: Dispatch): void {
  const { host, service } = dispatch
  dispatch.open.forEach(open => {
    open.attempt.cancel()
    open.server.openSends.delete(open)
    feedChoice(host, service, {
      kind: ChoiceEventKind.Completed,
      server: open.server.place.name,
      latencyMilliseconds: host.now() - open.startedAt,
      completion: CompletionKind.Cancelled
    })
  })
  dispatch.open.clear()
}
