// Slots and queue of the stand-in of a server: at most `slots` requests run, further ones wait in
// order of arrival, and those beyond the queue are shed before they start.

/** A request that waits or runs. */
export interface Job {
  start: () => void
}

/** The slots of one server. */
export interface Slots {
  /** Runs the job now or later; false if it is shed. */
  submit: (job: Job) => boolean
  /** Frees the slot of a job that ended, or removes a job that waits. */
  finish: (job: Job) => void
  inFlight: () => number
  queued: () => number
}

/** Creates free slots. */
export function createSlots (slots: number, queueLength: number): Slots {
  const running = new Set<Job>()
  const waiting: Job[] = []
  const startJob = (job: Job): void => {
    running.add(job)
    job.start()
  }
  return {
    submit: job => {
      if (running.size < slots) {
        startJob(job)
        return true
      }
      if (waiting.length >= queueLength) return false
      waiting.push(job)
      return true
    },
    finish: job => {
      const position = waiting.indexOf(job)
      if (position >= 0) waiting.splice(position, 1)
      if (!running.delete(job)) return
      const next = waiting.shift()
      if (next !== undefined) startJob(next)
    },
    inFlight: () => running.size,
    queued: () => waiting.length
  }
}
