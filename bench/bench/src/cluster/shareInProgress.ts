// Lets overlapping faults ask for the same thing once: who asks while it is in progress waits for the first.

/** Makes an action of which at most one is in progress for each key. */
export function shareInProgress<Key> (act: (key: Key) => Promise<void>): (key: Key) => Promise<void> {
  const inProgress = new Map<Key, Promise<void>>()
  return key => {
    const present = inProgress.get(key)
    if (present !== undefined) return present
    const started = act(key).finally(() => { inProgress.delete(key) })
    inProgress.set(key, started)
    return started
  }
}
