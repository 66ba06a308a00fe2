// Event queue and clock of a discrete-event simulation: a binary heap of actions ordered by time, then by
// insertion order.

interface ScheduledAction {
  at: number
  order: number
  run: () => void
}

/** A clock in milliseconds that advances only when actions run. */
export interface VirtualTime {
  now: number
  schedule: (delayMilliseconds: number, run: () => void) => void
  /** Runs all actions due up to and including `end`, and sets the clock to it. */
  runUntil: (end: number) => void
}

const isBefore = (first: ScheduledAction, second: ScheduledAction): boolean =>
  first.at < second.at || (first.at === second.at && first.order < second.order)

/** Creates a clock at time 0 without scheduled actions. */
export function createVirtualTime (): VirtualTime {
  const heap: ScheduledAction[] = []
  let insertions = 0
  const at = (index: number): ScheduledAction => heap[index] as ScheduledAction

  const push = (action: ScheduledAction): void => {
    let index = heap.push(action) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(action, at(parent))) break
      heap[index] = at(parent)
      index = parent
    }
    heap[index] = action
  }

  const pop = (): ScheduledAction => {
    const first = at(0)
    const last = heap.pop() as ScheduledAction
    if (heap.length === 0) return first
    let index = 0
    while (2 * index + 1 < heap.length) {
      const left = 2 * index + 1
      const child = left + 1 < heap.length && isBefore(at(left + 1), at(left)) ? left + 1 : left
      if (!isBefore(at(child), last)) break
      heap[index] = at(child)
      index = child
    }
    heap[index] = last
    return first
  }

  const time: VirtualTime = {
    now: 0,
    schedule: (delayMilliseconds, run) => {
      insertions += 1
      push({ at: time.now + delayMilliseconds, order: insertions, run })
    },
    runUntil: end => {
      while (heap.length > 0 && at(0).at <= end) {
        const action = pop()
        time.now = action.at
        action.run()
      }
      time.now = end
    }
  }
  return time
}
