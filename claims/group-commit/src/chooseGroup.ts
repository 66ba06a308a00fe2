// Chooses the writes of the next transaction. A transaction is all-or-nothing, so one failed condition
// rejects the whole group. The answer names every failed key; those writes are reported and the others
// are repeated. Conditions can fail again only for rows that changed in the meantime, so one repetition
// is the usual cost. To bound the cost when rows keep changing, the group shrinks with the number of
// repetitions: a write that was repeated four times goes alone and can then fail only for itself.
// A write therefore takes part in at most five answered transactions.
import { maximumRowsPerTransaction, maximumTransactionBytes, settlementWaitMilliseconds, type GroupCommitState, type QueuedWrite } from './groupCommitState.js'

const groupSizeByRepeats = [maximumRowsPerTransaction, maximumRowsPerTransaction, 25, 5, 1]

/** Whether a deferred write has waited long enough to be sent without a claim. */
export function isOverdue (state: GroupCommitState, queued: QueuedWrite, now: number): boolean {
  return state.flushing || now - queued.offeredAt >= settlementWaitMilliseconds
}

/** Whether there is a write that should be sent now, and not only one that waits for company. */
export function isGroupDue (state: GroupCommitState, now: number): boolean {
  const oldest = state.deferred[0]
  return state.repeated.length > 0 || state.urgent.length > 0 ||
    state.deferred.length >= maximumRowsPerTransaction ||
    (oldest !== undefined && isOverdue(state, oldest, now))
}

/** Removes the next group from the queues: repeated writes, overdue settlements, claims, other settlements. */
export function takeGroup (state: GroupCommitState, now: number): QueuedWrite[] {
  const mostRepeated = state.repeated.reduce((most, { repeats }) => Math.max(most, repeats), 0)
  const size = groupSizeByRepeats[mostRepeated] ?? 1
  const firstWaiting = state.deferred.findIndex(queued => !isOverdue(state, queued, now))
  const overdue = firstWaiting < 0 ? state.deferred.length : firstWaiting
  const candidates = [
    ...state.repeated.toSorted((first, second) => second.repeats - first.repeats),
    ...state.deferred.slice(0, overdue),
    ...state.urgent,
    ...state.deferred.slice(overdue)
  ]
  const group = selectGroup(candidates, size)
  const taken = new Set(group)
  const remaining = (queue: QueuedWrite[]): QueuedWrite[] => queue.filter(queued => !taken.has(queued))
  state.repeated = remaining(state.repeated)
  state.urgent = remaining(state.urgent)
  state.deferred = remaining(state.deferred)
  return group
}

// A key may occur once in a transaction; a second write of the same key waits for the next one.
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
