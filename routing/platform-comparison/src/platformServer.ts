// A server of the users' platform in virtual time: slots, a queue that sheds beyond its limit, and a
// machine shared with others, so that a quarter of the servers is slow at any time and which ones changes
// twice a second. By default work keeps the pace at which it started: only so does a random choice earn
// three quarters of the credit, as it does on the users' bench.
import type { VirtualTime } from '@siskinbeam/policy-comparison/eventQueue'
import type { Random } from '@siskinbeam/random/createRandom'
import type { ServerLoad } from '@siskinbeam/server-ranking/rankServers'

/** From the platform's site files: `noise` of a service. */
const slowShare = 0.25
const slowPace = 7
const paceLastsMilliseconds = 500

export interface CreatePlatformServerOptions {
  time: VirtualTime
  random: Random
  name: string
  dataCentre: number
  slots: number
  queueLimit: number
  workPace: WorkPace
}

/** Which pace work has on a server whose pace changes. */
export enum WorkPace {
  AtStart = 'at-start',
  OfTheMoment = 'of-the-moment'
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
  const readPace = createPaceSchedule(random)
  const waiting: QueuedWork[] = []
  let running = 0

  const proceedAtMoment = (left: number, onDone: () => void): void => {
    const { pace, until } = readPace(time.now)
    const needed = left * pace
    const available = until - time.now
    if (needed <= available) time.schedule(needed, onDone)
    else time.schedule(available, () => proceedAtMoment(left - available / pace, onDone))
  }
  const proceed: Record<WorkPace, (workMilliseconds: number, onDone: () => void) => void> = {
    [WorkPace.AtStart]: (workMilliseconds, onDone) => time.schedule(workMilliseconds * readPace(time.now).pace, onDone),
    [WorkPace.OfTheMoment]: proceedAtMoment
  }
  const start = ({ workMilliseconds, onDone }: QueuedWork): void => {
    running += 1
    proceed[workPace](workMilliseconds, () => {
      running -= 1
      const next = waiting.shift()
      if (next !== undefined) start(next)
      onDone()
    })
  }
  return {
    name,
    dataCentre,
    readLoad: () => ({ running, waiting: waiting.length, slots, pace: readPace(time.now).pace }),
    accept: (workMilliseconds, onDone) => {
      if (running < slots) start({ workMilliseconds, onDone })
      else if (waiting.length < queueLimit) waiting.push({ workMilliseconds, onDone })
      else return false
      return true
    }
  }
}

/** The pace at a time that never decreases, and how long it lasts. Servers change at different times. */
function createPaceSchedule (random: Random): (now: number) => { pace: number, until: number } {
  const draw = (): number => random() < slowShare ? slowPace : 1
  let until = random() * paceLastsMilliseconds
  let pace = draw()
  return now => {
    while (now >= until) {
      until += paceLastsMilliseconds
      pace = draw()
    }
    return { pace, until }
  }
}
