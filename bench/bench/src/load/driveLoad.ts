// Open-loop load: requests start at Poisson arrival times whatever became of earlier ones, and their
// latency counts from the intended start, so that a stalled system is not measured too kindly.
import { randomUUID } from 'node:crypto'
import { createRandom, drawExponential, type Random } from '@siskinbeam/random/createRandom'
import { computeArrivalRate, type RequestKind, type Workload } from '../workload.js'
import type { Guests } from './createGuests.js'
import type { GuestRequest } from './invocation.js'
import { readClock } from './sendAsGuest.js'

export interface DriveLoadOptions {
  workload: Workload
  guests: Guests
  seed: number
  seconds: number
  /** Load as a share of the capacity of each service, at a time since the start. */
  loadAt: (seconds: number) => number
  /** Path suffixes of extra requests at a time, such as the crashing one. */
  extraRequests?: () => GuestRequest[]
  /** Share of requests that are also sent to a server directly, for comparison. */
  directShare: number
  serverAddresses: (service: string) => string[]
}

/** All requests of a run. */
export interface LoadResult {
  requests: GuestRequest[]
  direct: GuestRequest[]
}

interface Arrival {
  at: number
  service: string
}

const longestWaitMilliseconds = 20_000

/** Makes a request of a kind, due at the time given. */
export function makeGuestRequest (kind: RequestKind, intendedAt: number, path = kind.path): GuestRequest {
  return { kind, key: kind.keyed ? randomUUID() : undefined, path: `${path}?case=${randomUUID()}`, intendedAt, sends: [] }
}

/** Drives load for the time given, then waits for what is in flight. */
export async function driveLoad (options: DriveLoadOptions): Promise<LoadResult> {
  const { workload, guests, seconds } = options
  const random = createRandom(options.seed)
  const startedAt = readClock()
  const result: LoadResult = { requests: [], direct: [] }
  const pending = new Set<Promise<unknown>>()
  const track = (work: Promise<unknown>): void => {
    pending.add(work)
    work.finally(() => pending.delete(work)).catch(() => {})
  }
  const submit = (request: GuestRequest): void => {
    result.requests.push(request)
    track(guests.send(request))
    if (request.kind.idempotent && random() < options.directShare) {
      const addresses = options.serverAddresses(request.kind.service)
      const direct = makeGuestRequest(request.kind, request.intendedAt)
      result.direct.push(direct)
      track(guests.sendDirectly(direct, addresses[Math.floor(random() * addresses.length)] as string))
    }
  }

  const nextOf = (service: string, from: number): Arrival => {
    const load = workload.services.find(({ name }) => name === service)
    const rate = load === undefined ? 0 : computeArrivalRate(load, options.loadAt((from - startedAt) / 1_000))
    return { at: from + drawExponential(random, 1_000 / Math.max(rate, 1e-6)), service }
  }
  const arrivals = workload.services.map(({ name }) => nextOf(name, startedAt))

  await new Promise<void>(resolve => {
    const step = (): void => {
      const now = readClock()
      if (now - startedAt >= seconds * 1_000) return resolve()
      arrivals.forEach((arrival, position) => {
        let due = arrival
        while (due.at <= now) {
          submit(makeGuestRequest(pickKind(workload, due.service, random), due.at))
          due = nextOf(due.service, due.at)
        }
        arrivals[position] = due
      })
      options.extraRequests?.().forEach(submit)
      const wait = Math.min(...arrivals.map(({ at }) => at)) - readClock()
      // setTimeout rounds up to whole milliseconds, so short waits poll.
      if (wait > 2) setTimeout(step, Math.floor(wait - 1))
      else setImmediate(step)
    }
    step()
  })
  await Promise.race([Promise.allSettled([...pending]), new Promise(resolve => setTimeout(resolve, longestWaitMilliseconds).unref())])
  return result
}

function pickKind (workload: Workload, service: string, random: Random): RequestKind {
  const kinds = workload.kinds.filter(kind => kind.service === service)
  const drawn = random()
  const found = kinds.reduce<{ sum: number, kind: RequestKind | undefined }>(
    ({ sum, kind }, candidate) => ({ sum: sum + candidate.share, kind: kind ?? (drawn < sum + candidate.share ? candidate : undefined) }),
    { sum: 0, kind: undefined })
  return found.kind ?? kinds.at(-1) as RequestKind
}
