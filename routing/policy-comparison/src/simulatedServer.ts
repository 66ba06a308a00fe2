// Simulated server with slots, a FIFO queue that sheds requests beyond its limit, and noisy neighbours that slow
// it down for short periods.
import { drawExponential, type Random } from '@siskinbeam/random/createRandom'
import type { LoadReport } from '@siskinbeam/probing/loadReport'
import type { VirtualTime } from './eventQueue.js'

const noisyPhaseMilliseconds = { minimum: 20, maximum: 200 }
const noisySlowdown = { minimum: 1, maximum: 3 }
const meanQuietMilliseconds = 400
const latencySmoothing = 0.2

const meanNoisyMilliseconds = (noisyPhaseMilliseconds.minimum + noisyPhaseMilliseconds.maximum) / 2
const noisyRatio = meanNoisyMilliseconds / (meanNoisyMilliseconds + meanQuietMilliseconds)
/** Mean speed with noisy neighbours relative to a server without them: the mean of 1 / factor. */
export const meanSpeed = 1 - noisyRatio + noisyRatio * Math.log(noisySlowdown.maximum / noisySlowdown.minimum) / (noisySlowdown.maximum - noisySlowdown.minimum)

export interface SimulatedServerOptions {
  time: VirtualTime
  random: Random
  name: string
  slots: number
  queueLimit: number
  /** Slowdown of a straggler; 1 for a healthy server. */
  slowFactor: number
}

interface Task {
  serviceTimeMilliseconds: number
  acceptedAt: number
  isOver: boolean
  isRunning: boolean
  complete: () => void
}

export interface SimulatedServer {
  name: string
  slots: number
  /** Runs or queues a request. Returns a function that cancels it, or undefined if the server sheds it. */
  accept: (serviceTimeMilliseconds: number, complete: () => void) => (() => void) | undefined
  report: () => LoadReport
}

/** Creates an idle server. */
export function createSimulatedServer ({ time, random, name, slots, queueLimit, slowFactor }: SimulatedServerOptions): SimulatedServer {
  const computeFinishTime = createSpeedSchedule(random, slowFactor)
  const waiting: Task[] = []
  let running = 0
  let latencyMilliseconds = 0

  const start = (task: Task): void => {
    running += 1
    task.isRunning = true
    time.schedule(computeFinishTime(time.now, task.serviceTimeMilliseconds) - time.now, () => {
      if (task.isOver) return
      task.isOver = true
      latencyMilliseconds += (time.now - task.acceptedAt - latencyMilliseconds) * latencySmoothing
      releaseSlot()
      task.complete()
    })
  }
  const releaseSlot = (): void => {
    running -= 1
    const next = waiting.shift()
    if (next !== undefined) start(next)
  }
  const cancel = (task: Task): void => {
    if (task.isOver) return
    task.isOver = true
    if (task.isRunning) releaseSlot()
    else waiting.splice(waiting.indexOf(task), 1)
  }
  return {
    name,
    slots,
    accept: (serviceTimeMilliseconds, complete) => {
      if (running >= slots && waiting.length >= queueLimit) return undefined
      const task: Task = { serviceTimeMilliseconds, acceptedAt: time.now, isOver: false, isRunning: false, complete }
      if (running < slots) start(task)
      else waiting.push(task)
      return () => cancel(task)
    },
    report: () => ({ inFlight: running + waiting.length, queued: waiting.length, slots, latencyMilliseconds })
  }
}

interface Phase {
  end: number
  factor: number
}

// Returns a function that computes when work started at `from` finishes. Start times never decrease, so phases
// that ended before the current start are dropped.
function createSpeedSchedule (random: Random, slowFactor: number): (from: number, work: number) => number {
  const phases: Phase[] = [{ end: drawExponential(random, meanQuietMilliseconds), factor: 1 }]
  const drawUniform = ({ minimum, maximum }: { minimum: number, maximum: number }): number => minimum + random() * (maximum - minimum)
  const addPhase = (): void => {
    const last = phases[phases.length - 1] as Phase
    phases.push(last.factor === 1
      ? { end: last.end + drawUniform(noisyPhaseMilliseconds), factor: drawUniform(noisySlowdown) }
      : { end: last.end + drawExponential(random, meanQuietMilliseconds), factor: 1 })
  }
  const finish = (index: number, from: number, work: number): number => {
    if (index >= phases.length) addPhase()
    const { end, factor } = phases[index] as Phase
    const needed = work * factor
    return from + needed <= end ? from + needed : finish(index + 1, Math.max(from, end), (needed - Math.max(0, end - from)) / factor)
  }
  return (from, work) => {
    while (phases.length > 1 && (phases[0] as Phase).end < from) phases.shift()
    return finish(0, from, work * slowFactor)
  }
}
