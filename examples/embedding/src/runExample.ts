// Runs the balancer against simulated servers in virtual time. One server fails every request for a period
// of time, and another one drains. An event queue ordered by time replaces sockets and timers.
import { createRandom, drawExponential } from '@siskinbeam/random/createRandom'
import { createBalancer, type BalancedRequest } from './createBalancer.js'

/** Counts of request outcomes and of sends. */
export interface ExampleResult {
  responded: number
  failed: number
  furtherSends: number
  sendsOf: Record<string, number>
  /** Sends by server during the period in which one server fails every request. */
  sendsDuringFailures: Record<string, number>
  /** Sends to the draining server after the first response that announced draining. */
  sendsAfterDrain: number
  /** Repeated sends of non-idempotent requests. */
  repeatedNonIdempotent: number
}

export interface RunExampleOptions {
  seed: number
  requests: number
}

export const failingServer = 'desk-2'
export const drainingServer = 'desk-3'
const names = ['desk-1', failingServer, drainingServer, 'desk-4', 'desk-5', 'desk-6']
const slots = 3
const meanServiceMilliseconds = 20
const meanInterarrivalMilliseconds = 4
const failureStart = 1_000
const failureEnd = 2_000
const drainStart = 2_000
const deadlineMilliseconds = 500
const isFailing = (now: number): boolean => now >= failureStart && now < failureEnd

/** Runs the example with the given number of requests; the result depends only on the seed and that number. */
export function runExample ({ seed, requests }: RunExampleOptions): ExampleResult {
  const random = createRandom(seed)
  const balancer = createBalancer({ servers: names.map(name => ({ name, slots })), random, now: 0 })
  const inFlight = new Map(names.map(name => [name, 0]))
  const countByServer = (): Record<string, number> => Object.fromEntries(names.map(name => [name, 0]))
  const result: ExampleResult = { responded: 0, failed: 0, furtherSends: 0, sendsOf: countByServer(), sendsDuringFailures: countByServer(), sendsAfterDrain: 0, repeatedNonIdempotent: 0 }
  let drainSeen = false
  let queue: Array<{ at: number, run: (now: number) => void }> = []
  const schedule = (at: number, run: (now: number) => void): void => {
    queue = [...queue, { at, run }].sort((first, second) => first.at - second.at)
  }

  const send = (request: BalancedRequest, now: number): void => {
    const server = balancer.send(request, now)
    if (server === undefined) {
      result.failed += 1
      return
    }
    result.sendsOf[server] = (result.sendsOf[server] ?? 0) + 1
    if (isFailing(now)) result.sendsDuringFailures[server] = (result.sendsDuringFailures[server] ?? 0) + 1
    if (server === drainingServer && drainSeen) result.sendsAfterDrain += 1
    if (!request.idempotent && request.servers.length > 1) result.repeatedNonIdempotent += 1
    const busy = inFlight.get(server) ?? 0
    inFlight.set(server, busy + 1)
    const queueFactor = 1 + Math.floor(busy / slots)
    schedule(now + drawExponential(random, meanServiceMilliseconds) * queueFactor, endedAt => handleCompletion(request, server, now, endedAt))
  }
  const handleCompletion = (request: BalancedRequest, server: string, sentAt: number, now: number): void => {
    const running = (inFlight.get(server) ?? 1) - 1
    inFlight.set(server, running)
    if (server === failingServer && isFailing(sentAt)) {
      const decision = balancer.recordFailure(server, request, now - sentAt, now)
      if (decision.retries) schedule(now + decision.delayMilliseconds, later => send(request, later))
      else result.failed += 1
      return
    }
    const draining = server === drainingServer && now >= drainStart
    drainSeen ||= draining
    balancer.recordResponse(server, { boot: 'first', draining, report: { inFlight: running, queued: Math.max(0, running - slots) } }, now - sentAt, now)
    result.responded += 1
  }

  const handleArrival = (remaining: number) => (now: number): void => {
    send({ idempotent: remaining % 2 === 0, deadlineAt: now + deadlineMilliseconds, servers: [] }, now)
    if (remaining > 1) schedule(now + drawExponential(random, meanInterarrivalMilliseconds), handleArrival(remaining - 1))
  }
  schedule(0, handleArrival(requests))
  while (queue.length > 0) {
    const [next, ...rest] = queue
    queue = rest
    next?.run(next.at)
  }
  result.furtherSends = balancer.countSends().further
  return result
}
