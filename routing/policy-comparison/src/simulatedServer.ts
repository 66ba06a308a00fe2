// A server in virtual time: slots, a FIFO queue that sheds beyond its limit, and noisy neighbours that
// slow it down for short times.
import { drawExponential, type Random } from '@siskinbeam/random/createRandom'
import type { LoadReport } from '@siskinbeam/probing/loadReport'
import type { VirtualTime } from './eventQueue.js'

const noisyMilliseconds = { least: 20, most: 200 }
const noisyFactor = { least: 1, most: 3 }
const meanQuietMilliseconds = 400
const latencySmoothing = 0.2

const meanNoisyMilliseconds = (noisyMilliseconds.least + noisyMilliseconds.most) / 2
const noisyShare = meanNoisyMilliseconds / (meanNoisyMilliseconds + meanQuietMilliseconds)
/** Work done per unit of time, noise included, relative to a quiet server: the mean of 1 / factor. */
export const meanSpeed = 1 - noisyShare + noisyShare * Math.log(noisyFactor.most / noisyFactor.least) / (noisyFactor.most - noisyFactor.least)

export interface SimulatedServerOptions {
  time: VirtualTime
  random: Random
  name: string
  slots: number
  queueLimit: number
  /** 10 for a straggler. */
  slowFactor: number
}

interface Task {
  workMilliseconds: number
  acceptedAt: number
  isOver: boolean
  isRunning: boolean
  complete: () => void
}

export interface SimulatedServer {
  name: string
  slots: number
  /** Gives a function that cancels the request, or undefined if the server sheds it. */
  accept: (workMilliseconds: number, complete: () => void) => (() => void) | undefined
  report: () => LoadReport
}

/** Creates an idle server. */
export function createSimulatedServer ({ time, random, name, slots, queueLimit, slowFactor }: SimulatedServerOptions): SimulatedServer {
  const computeFinish = createSpeedSchedule(random, slowFactor)
  const waiting: Task[] = []
  let running = 0
  let latencyMilliseconds = 0

  const start = (task: Task): void => {
    running += 1
    task.isRunning = true
    time.schedule(computeFinish(time.now, task.workMilliseconds) - time.now, () => {
      if (task.isOver) return
      task.isOver = true
      latencyMilliseconds += (time.now - task.acceptedAt - latencyMilliseconds) * latencySmoothing
      release()
      task.complete()
    })
  }
  const release = (): void => {
    running -= 1
    const next = waiting.shift()
    if (next !== undefined) start(next)
  }
  const cancel = (task: Task): void => {
    if (task.isOver) return
    task.isOver = true
    if (task.isRunning) release()
    else waiting.splice(waiting.indexOf(task), 1)
  }
  return {
    name,
    slots,
    accept: (workMilliseconds, complete) => {
      if (running >= slots && waiting.length >= queueLimit) return undefined
      const task: Task = { workMilliseconds, acceptedAt: time.now, isOver: false, isRunning: false, complete }
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

// Gives the time at which work finishes that starts at `from`. Starts never decrease, so phases that
// ended before one are dropped.
function createSpeedSchedule (random: Random, slowFactor: number): (from: number, work: number) => number {
  const phases: Phase[] = [{ end: drawExponential(random, meanQuietMilliseconds), factor: 1 }]
  const between = ({ least, most }: { least: number, most: number }): number => least + random() * (most - least)
  const addPhase = (): void => {
    const last = phases[phases.length - 1] as Phase
    phases.push(last.factor === 1
      ? { end: last.end + between(noisyMilliseconds), factor: between(noisyFactor) }
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
