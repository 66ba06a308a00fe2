// A server of the users' platform in virtual time: slots, a queue that sheds beyond its limit, and a
// machine shared with others, so that a quarter of the servers is slow at any time and which ones changes
// twice a second. By default work keeps the pace at which it started: only so does a random choice earn
// three quarters of the credit, as it does on the users' bench.
import type { VirtualTime } from '@siskinbeam/policy-comparison/eventQueue'
import type { Random } from '@siskinbeam/random/createRandom'
import type { ServerLoad } from '@siskinbeam/server-ranking/rankServers'

/** From the platform's site files: `noise` of a service. */
const slowShare = 0.25
const slowFactor = 7
const slowdownPeriodMilliseconds = 500

export interface CreatePlatformServerOptions {
  time: VirtualTime
  random: Random
  name: string
  dataCentre: number
  slots: number
  queueLimit: number
  workPace: SlowdownModel
}

/** Which pace work has on a server whose pace changes. */
export enum SlowdownModel {
  FixedAtStart = 'at-start',
  Varying = 'of-the-moment'
}

export interface PlatformServer {
  name: string
  dataCentre: number
  readLoad: () => ServerLoad
  /** Runs work or queues it, and calls back at its end. Gives false if the server sheds it. */
  accept: (workMilliseconds: number, onDone: () => void) => boolean
}

interface QueuedWork {
  workMilliseconds: number
  onDone: () => void
}

/** Creates an idle server. */
export function createPlatformServer ({ time, random, name, dataCentre, slots, queueLimit, workPace }: CreatePlatformServerOptions): PlatformServer {
  const readSlowdown = createSlowdownSchedule(random)
  const waiting: QueuedWork[] = []
  let running = 0

  const runAtVaryingSlowdown = (left: number, onDone: () => void): void => {
    const { pace, until } = readSlowdown(time.now)
    const needed = left * pace
    const available = until - time.now
    if (needed <= available) time.schedule(needed, onDone)
    else time.schedule(available, () => runAtVaryingSlowdown(left - available / pace, onDone))
  }
  const scheduleCompletion: Record<SlowdownModel, (workMilliseconds: number, onDone: () => void) => void> = {
    [SlowdownModel.FixedAtStart]: (workMilliseconds, onDone) => time.schedule(workMilliseconds * readSlowdown(time.now).pace, onDone),
    [SlowdownModel.Varying]: runAtVaryingSlowdown
  }
  const start = ({ workMilliseconds, onDone }: QueuedWork): void => {
    running += 1
    scheduleCompletion[workPace](workMilliseconds, () => {
      running -= 1
      const next = waiting.shift()
      if (next !== undefined) start(next)
      onDone()
    })
  }
  return {
    name,
    dataCentre,
    readLoad: () => ({ running, waiting: waiting.length, slots, pace: readSlowdown(time.now).pace }),
    accept: (workMilliseconds, onDone) => {
      if (running < slots) start({ workMilliseconds, onDone })
      else if (waiting.length < queueLimit) waiting.push({ workMilliseconds, onDone })
      else return false
      return true
    }
  }
}

/** The pace at a time that never decreases, and how long it lasts. Servers change at different times. */
function createSlowdownSchedule (random: Random): (now: number) => { pace: number, until: number } {
  const draw = (): number => random() < slowShare ? slowFactor : 1
  let until = random() * slowdownPeriodMilliseconds
  let pace = draw()
  return now => {
    while (now >= until) {
      until += slowdownPeriodMilliseconds
      pace = draw()
    }
    return { pace, until }
  }
}
