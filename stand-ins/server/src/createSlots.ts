// Slots and queue of the server stand-in: at most `slots` requests run at the same time, further ones wait
// in a FIFO queue, and requests that exceed the queue length are shed before they start.

/** A queued or running request. */
export interface Job {
  start: () => void
}

/** The slots of one server. */
export interface Slots {
  /** Starts or queues the job; returns false if it is shed. */
  submit: (job: Job) => boolean
  /** Frees the slot of a running job and starts the next one, or removes a queued job. */
  finish: (job: Job) => void
  inFlight: () => number
  queued: () => number
}

/** Creates the given number of free slots and an empty queue. */
export function createSlots (slots: number, queueLength: number): Slots {
  const running = new Set<Job>()
  const queue: Job[] = []
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
      if (queue.length >= queueLength) return false
      queue.push(job)
      return true
    },
    finish: job => {
      const index = queue.indexOf(job)
      if (index >= 0) queue.splice(index, 1)
      if (!running.delete(job)) return
      const next = queue.shift()
      if (next !== undefined) startJob(next)
    },
    inFlight: () => running.size,
    queued: () => queue.length
  }
}
