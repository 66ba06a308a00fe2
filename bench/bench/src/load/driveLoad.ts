// Open-loop load generator: requests start at Poisson arrival times, independently of the progress of earlier ones.
// Latency counts from the intended start of a request, which avoids coordinated omission.
import { randomUUID } from 'node:crypto'
import { createRandom, drawExponential, type Random } from '@siskinbeam/random/createRandom'
import { computeArrivalRate, type RequestKind, type Workload } from '../workload.js'
import type { Guests } from './createGuests.js'
import type { GuestRequest } from './guestRequest.js'
import { readClock } from './sendAsGuest.js'

export interface DriveLoadOptions {
  workload: Workload
  guests: Guests
  seed: number
  seconds: number
  /** Returns the load as a share of the capacity of each service, for a time in seconds since the start. */
  loadAt: (seconds: number) => number
  /** Returns further requests to send now, such as one that crashes its server. */
  extraRequests?: () => GuestRequest[]
  /** Share of idempotent requests for which another one is sent directly to a server, as a baseline. */
  directShare: number
  serverAddresses: (service: string) => string[]
}

/** Requests of a run through entry hosts, and those sent directly to servers. */
export interface LoadResult {
  requests: GuestRequest[]
  direct: GuestRequest[]
}

interface Arrival {
  at: number
  service: string
}

const completionTimeoutMilliseconds = 20_000

/** Creates a request with a unique path, and a unique key if the kind is keyed. `intendedAt` is in epoch milliseconds. */
export function makeGuestRequest (kind: RequestKind, intendedAt: number, path = kind.path): GuestRequest {
  return { kind, key: kind.keyed ? randomUUID() : undefined, path: `${path}?case=${randomUUID()}`, intendedAt, sends: [] }
}

/** Generates load for `seconds`, then waits up to 20 s for requests in flight. */
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

  const drawNextArrival = (service: string, from: number): Arrival => {
    const workloadService = workload.services.find(({ name }) => name === service)
    const rate = workloadService === undefined ? 0 : computeArrivalRate(workloadService, options.loadAt((from - startedAt) / 1_000))
    return { at: from + drawExponential(random, 1_000 / Math.max(rate, 1e-6)), service }
  }
  const arrivals = workload.services.map(({ name }) => drawNextArrival(name, startedAt))

  await new Promise<void>(resolve => {
    const step = (): void => {
      const now = readClock()
      if (now - startedAt >= seconds * 1_000) return resolve()
      arrivals.forEach((arrival, position) => {
        let due = arrival
        while (due.at <= now) {
          submit(makeGuestRequest(drawRequestKind(workload, due.service, random), due.at))
          due = drawNextArrival(due.service, due.at)
        }
        arrivals[position] = due
      })
      options.extraRequests?.().forEach(submit)
      const wait = Math.min(...arrivals.map(({ at }) => at)) - readClock()
      // setTimeout has a resolution of 1 ms, so short waits poll instead.
      if (wait > 2) setTimeout(step, Math.floor(wait - 1))
      else setImmediate(step)
    }
    step()
  })
  await Promise.race([Promise.allSettled([...pending]), new Promise(resolve => setTimeout(resolve, completionTimeoutMilliseconds).unref())])
  return result
}

function drawRequestKind (workload: Workload, service: string, random: Random): RequestKind {
  const kinds = workload.kinds.filter(kind => kind.service === service)
  const drawn = random()
  const found = kinds.reduce<{ sum: number, kind: RequestKind | undefined }>(
    ({ sum, kind }, candidate) => ({ sum: sum + candidate.share, kind: kind ?? (drawn < sum + candidate.share ? candidate : undefined) }),
    { sum: 0, kind: undefined })
  return found.kind ?? kinds.at(-1) as RequestKind
}
