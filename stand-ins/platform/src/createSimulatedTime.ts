// Discrete time in milliseconds for simulations of decision modules. Actions of one millisecond run in
// the order in which they were scheduled, so that a run depends on its seed only.
import { createRandom, pickIndex } from '@siskinbeam/random/createRandom'

/** Simulated time with its random numbers. */
export interface SimulatedTime {
  /** Milliseconds since the start. */
  now: () => number
  /** Runs the action after at least 1 ms; fractions are rounded up. */
  after: (milliseconds: number, action: () => void) => void
  /** Moves to the next millisecond and runs its actions. */
  advance: () => void
  /** True with the probability given. */
  chance: (share: number) => boolean
  /** A whole number from `lowest` to `highest`. */
  between: (lowest: number, highest: number) => number
}

/** Creates simulated time at 0. */
export function createSimulatedTime (seed: number): SimulatedTime {
  const random = createRandom(seed)
  const actions = new Map<number, Array<() => void>>()
  let time = 0
  return {
    now: () => time,
    after: (milliseconds, action) => {
      const at = time + Math.max(1, Math.ceil(milliseconds))
      const present = actions.get(at)
      if (present === undefined) actions.set(at, [action])
      else present.push(action)
    },
    advance: () => {
      time += 1
      const due = actions.get(time) ?? []
      actions.delete(time)
      due.forEach(action => action())
    },
    chance: share => random() < share,
    between: (lowest, highest) => lowest + pickIndex(random, highest - lowest + 1)
  }
}
