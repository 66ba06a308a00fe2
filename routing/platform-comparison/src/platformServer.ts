// Simulated server of the users' platform, with slots, a queue that sheds requests beyond its limit, and a
// machine shared with other workloads: a quarter of the servers is slow at any time, and which ones changes
// twice per second. By default, work keeps the slowdown at which it started, because only then does random
// choice earn three quarters of the credit, as on the users' benchmark.
import type { VirtualTime } from '@siskinbeam/policy-comparison/eventQueue'
import type { Random } from '@siskinbeam/random/createRandom'
import type { ProbedLoad } from '@siskinbeam/server-ranking/rankServers'

/** Values of the `noise` of a service in the platform's site files. */
const slowRatio = 0.25
const slowServerSlowdown = 7
const slowdownPeriodMilliseconds = 500
/** Slot utilization above which the load slows a server down. */
const nearSaturationUtilization = 0.8
const resetMilliseconds = 5

export interface CreatePlatformServerOptions {
  time: VirtualTime
  random: Random
  name: string
  dataCentre: number
  slots: number
  queueLimit: number
  slowdownModel: SlowdownModel
  /** How much longer work takes that starts when nearly all slots are in use; 1 if the load does not matter. */
  saturationSlowdown: number
  /** Ratio of the accepted requests that the server resets. */
  failureRatio?: number
}

/** Whether work keeps the slowdown at which it starts or follows the changes of its server. */
export enum SlowdownModel {
  FixedAtStart = 'at-start',
  Varying = 'of-the-moment'
}

export interface PlatformServer {
  name: string
  dataCentre: number
  readLoad: () => ProbedLoad
  /** Runs or queues work and calls `onDone` when it ends, or `onReset` if the server fails it. Returns false if the server sheds it. */
  accept: (serviceTimeMilliseconds: number, onDone: () => void, onReset?: () => void) => boolean
}

interface QueuedWork {
  serviceTimeMilliseconds: number
  onDone: () => void
}

/** Creates an idle server. */
export function createPlatformServer ({ time, random, name, dataCentre, slots, queueLimit, slowdownModel, saturationSlowdown, failureRatio = 0 }: CreatePlatformServerOptions): PlatformServer {
  const readSlowdown = createSlowdownSchedule(random)
  const waiting: QueuedWork[] = []
  let running = 0

  const runAtVaryingSlowdown = (remainingMilliseconds: number, onDone: () => void): void => {
    const { slowdown, until } = readSlowdown(time.now)
    const needed = remainingMilliseconds * slowdown
    const available = until - time.now
    if (needed <= available) time.schedule(needed, onDone)
    else time.schedule(available, () => runAtVaryingSlowdown(remainingMilliseconds - available / slowdown, onDone))
  }
  const scheduleCompletion: Record<SlowdownModel, (serviceTimeMilliseconds: number, onDone: () => void) => void> = {
    [SlowdownModel.FixedAtStart]: (serviceTimeMilliseconds, onDone) => time.schedule(serviceTimeMilliseconds * readSlowdown(time.now).slowdown, onDone),
    [SlowdownModel.Varying]: runAtVaryingSlowdown
  }
  const start = ({ serviceTimeMilliseconds, onDone }: QueuedWork): void => {
    running += 1
    const isNearlySaturated = running > nearSaturationUtilization * slots
    scheduleCompletion[slowdownModel](serviceTimeMilliseconds * (isNearlySaturated ? saturationSlowdown : 1), () => {
      running -= 1
      const next = waiting.shift()
      if (next !== undefined) start(next)
      onDone()
    })
  }
  return {
    name,
    dataCentre,
    readLoad: () => ({ running, waiting: waiting.length, slots, slowdown: readSlowdown(time.now).slowdown }),
    accept: (serviceTimeMilliseconds, onDone, onReset = () => {}) => {
      if (failureRatio > 0 && random() < failureRatio) time.schedule(resetMilliseconds, onReset)
      else if (running < slots) start({ serviceTimeMilliseconds, onDone })
      else if (waiting.length < queueLimit) waiting.push({ serviceTimeMilliseconds, onDone })
      else return false
      return true
    }
  }
}

/**
 * Creates a function that returns the slowdown at a time and when it ends. The times passed must not decrease.
 * The phase is random, so servers change at different times.
 */
function createSlowdownSchedule (random: Random): (now: number) => { slowdown: number, until: number } {
  const draw = (): number => random() < slowRatio ? slowServerSlowdown : 1
  let until = random() * slowdownPeriodMilliseconds
  let slowdown = draw()
  return now => {
    while (now >= until) {
      until += slowdownPeriodMilliseconds
      slowdown = draw()
    }
    return { slowdown, until }
  }
}
