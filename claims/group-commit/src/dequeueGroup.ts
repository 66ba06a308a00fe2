// Selects the writes of the next transaction. A transaction is all-or-nothing, so one failed condition
// rejects the whole group. The answer names every failed key; those writes are reported, and the others
// are retried. Conditions can fail again only for rows that changed in the meantime, so one retry is the
// usual cost. To bound the cost when rows keep changing, the group shrinks with the number of retries:
// a write that was retried four times is sent alone and can then fail only because of its own row.
// A write therefore takes part in at most five answered transactions.
import { maximumRowsPerTransaction, maximumTransactionBytes, settlementBatchDelayMilliseconds, type GroupCommitState, type QueuedWrite } from './groupCommitState.js'

const groupSizeByRetries = [maximumRowsPerTransaction, maximumRowsPerTransaction, 25, 5, 1]

/** Whether a deferred write has reached its maximum delay and is sent even if there is no claim to batch it with. */
export function isOverdue (state: GroupCommitState, queued: QueuedWrite, now: number): boolean {
  return state.flushing || now - queued.enqueuedAt >= settlementBatchDelayMilliseconds
}

/** Whether a write should be sent now, as opposed to deferred writes that still wait to be batched with others. */
export function isGroupDue (state: GroupCommitState, now: number): boolean {
  const oldest = state.deferredQueue[0]
  return state.retryQueue.length > 0 || state.urgentQueue.length > 0 ||
    state.deferredQueue.length >= maximumRowsPerTransaction ||
    (oldest !== undefined && isOverdue(state, oldest, now))
}

/** Removes the next group from the queues, in this priority: retried writes, overdue settlements, claims, other settlements. */
export function dequeueGroup (state: GroupCommitState, now: number): QueuedWrite[] {
  const mostRetries = state.retryQueue.reduce((most, { retries }) => Math.max(most, retries), 0)
  const size = groupSizeByRetries[mostRetries] ?? 1
  const firstNotDue = state.deferredQueue.findIndex(queued => !isOverdue(state, queued, now))
  const overdueCount = firstNotDue < 0 ? state.deferredQueue.length : firstNotDue
  const candidates = [
    ...state.retryQueue.toSorted((first, second) => second.retries - first.retries),
    ...state.deferredQueue.slice(0, overdueCount),
    ...state.urgentQueue,
    ...state.deferredQueue.slice(overdueCount)
  ]
  const group = selectGroup(candidates, size)
  const dequeued = new Set(group)
  const remaining = (queue: QueuedWrite[]): QueuedWrite[] => queue.filter(queued => !dequeued.has(queued))
  state.retryQueue = remaining(state.retryQueue)
  state.urgentQueue = remaining(state.urgentQueue)
  state.deferredQueue = remaining(state.deferredQueue)
  return group
}

// A key may occur only once in a transaction; a second write of the same key waits for the next transaction.
function selectGroup (candidates: QueuedWrite[], size: number): QueuedWrite[] {
  const keys = new Set<string>()
  const group: QueuedWrite[] = []
  let bytes = 0
  candidates.some(candidate => {
    const fits = group.length === 0 || bytes + candidate.bytes <= maximumTransactionBytes
    if (fits && !keys.has(candidate.write.key)) {
      keys.add(candidate.write.key)
      group.push(candidate)
      bytes += candidate.bytes
    }
    return group.length >= size
  })
  return group
}
