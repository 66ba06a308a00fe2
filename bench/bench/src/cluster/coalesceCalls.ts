// Coalesces concurrent calls, so that overlapping faults start an action only once: a call that arrives while one
// for the same key is in progress shares its promise.

/** Wraps an action so that at most one call per key is in progress. Concurrent calls share its result or its error. */
export function coalesceCalls<Key> (action: (key: Key) => Promise<void>): (key: Key) => Promise<void> {
  const inProgress = new Map<Key, Promise<void>>()
  return key => {
    const pending = inProgress.get(key)
    if (pending !== undefined) return pending
    const started = action(key).finally(() => { inProgress.delete(key) })
    inProgress.set(key, started)
    return started
  }
}
