// Discrete time in milliseconds for simulations of decision modules. Actions that are due in the same
// millisecond run in the order in which they were scheduled, so that a run depends only on its seed.
import { createRandom, pickIndex } from '@siskinbeam/random/createRandom'

/** Virtual time and random numbers of one run. */
export interface VirtualTime {
  /** Milliseconds since the start. */
  now: () => number
  /** Runs the action after at least 1 ms; fractions are rounded up. */
  scheduleAfter: (milliseconds: number, action: () => void) => void
  /** Moves to the next millisecond and runs its actions. */
  advance: () => void
  /** Returns true with the given probability. */
  drawBoolean: (probability: number) => boolean
  /** Draws an integer from `minimum` to `maximum`, both included. */
  drawInteger: (minimum: number, maximum: number) => number
}

/** Creates virtual time that starts at 0. */
export function createVirtualTime (seed: number): VirtualTime {
  const random = createRandom(seed)
  const actions = new Map<number, Array<() => void>>()
  let time = 0
  return {
    now: () => time,
    scheduleAfter: (milliseconds, action) => {
      const dueAt = time + Math.max(1, Math.ceil(milliseconds))
      const scheduled = actions.get(dueAt)
      if (scheduled === undefined) actions.set(dueAt, [action])
      else scheduled.push(action)
    },
    advance: () => {
      time += 1
      const due = actions.get(time) ?? []
      actions.delete(time)
      due.forEach(action => action())
    },
    drawBoolean: probability => random() < probability,
    drawInteger: (minimum, maximum) => minimum + pickIndex(random, maximum - minimum + 1)
  }
}
