// A client-side load balancer for one service. It combines server selection, server health and a retry
// budget. It performs no I/O and reads no clock, so it can run in virtual time.
import { ReportSource, type LoadReport } from '@siskinbeam/probing/loadReport'
import type { Random } from '@siskinbeam/random/createRandom'
import { decideRetry, RetryCause, type RetryDecision } from '@siskinbeam/retries/decideRetry'
import { createRetryBudget, recordFirstSend } from '@siskinbeam/retries/retryBudget'
import { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import { ChoiceEventKind, CompletionKind, createServerChoiceState, type ChoiceServer } from '@siskinbeam/server-choice/choiceState'
import { chooseServer } from '@siskinbeam/server-choice/chooseServer'
import { stepServerChoice } from '@siskinbeam/server-choice/stepServerChoice'
import { createServerHealthState, HealthEventKind } from '@siskinbeam/server-health/healthState'
import { readServerWeight } from '@siskinbeam/server-health/readServerWeight'
import { stepServerHealth } from '@siskinbeam/server-health/stepServerHealth'

/** A request that the balancer sends. */
export interface BalancedRequest {
  idempotent: boolean
  deadlineAt: number
  /** Servers to which the request was sent, in order. */
  servers: string[]
}

/** The response headers that the balancer evaluates. */
export interface ServerResponse {
  /** `server-boot`. */
  boot: string
  /** `server-state: draining`. */
  draining: boolean
  /** `endpoint-load-metrics`. */
  report: LoadReport
}

/** A client-side load balancer. All times are monotonic milliseconds. */
export interface Balancer {
  /** Selects the server to send the request to and records the send; returns undefined if no server is available. */
  send: (request: BalancedRequest, now: number) => string | undefined
  recordResponse: (server: string, response: ServerResponse, latencyMilliseconds: number, now: number) => void
  /** Records a lost connection and decides whether to retry the request. */
  recordFailure: (server: string, request: BalancedRequest, latencyMilliseconds: number, now: number) => RetryDecision
  readWeight: (server: string, now: number) => number
  countSends: () => { first: number, further: number }
}

export interface CreateBalancerOptions {
  servers: ChoiceServer[]
  random: Random
  now: number
}

const maximumAttempts = 3
const budgetShare = 0.1
const expectedMilliseconds = 20

/** Creates a balancer for the given servers. */
export function createBalancer ({ servers, random, now: start }: CreateBalancerOptions): Balancer {
  const choice = createServerChoiceState()
  const health = createServerHealthState()
  const budget = createRetryBudget({ budgetShare, now: start })
  stepServerChoice({ state: choice, event: { kind: ChoiceEventKind.ServersChanged, servers }, now: start })
  stepServerHealth({ state: health, event: { kind: HealthEventKind.ServersChanged, servers: servers.map(({ name }) => name) }, now: start })
  const readWeight = (server: string, now: number): number => readServerWeight(health, server, now)

  return {
    readWeight,
    countSends: () => ({ first: budget.firstSends, further: budget.furtherSends }),
    send: (request, now) => {
      const server = chooseServer({ state: choice, policy: LoadBalancingPolicy.Ours, now, random, readWeight: name => readWeight(name, now), excluded: request.servers })
      if (server === undefined) return undefined
      if (request.servers.length === 0) recordFirstSend(budget, now)
      request.servers.push(server)
      stepServerChoice({ state: choice, event: { kind: ChoiceEventKind.Sent, server }, now })
      stepServerHealth({ state: health, event: { kind: HealthEventKind.Sent, server }, now })
      return server
    },
    recordResponse: (server, { report, ...signs }, latencyMilliseconds, now) => {
      // The report does not count the completed request, so it is processed after the completion.
      stepServerChoice({ state: choice, event: { kind: ChoiceEventKind.Completed, server, completion: CompletionKind.Responded, latencyMilliseconds }, now })
      stepServerChoice({ state: choice, event: { kind: ChoiceEventKind.Reported, server, report, source: ReportSource.Response, ageMilliseconds: 0 }, now })
      stepServerHealth({ state: health, event: { kind: HealthEventKind.Responded, server, signs, latencyMilliseconds }, now })
    },
    recordFailure: (server, { idempotent, deadlineAt, servers: tried }, latencyMilliseconds, now) => {
      stepServerChoice({ state: choice, event: { kind: ChoiceEventKind.Completed, server, completion: CompletionKind.Failed, latencyMilliseconds }, now })
      stepServerHealth({ state: health, event: { kind: HealthEventKind.Failed, server }, now })
      const request = { cause: RetryCause.Failed, idempotent, retriedByCaller: false, maximumAttempts, sends: tried.length, deadlineAt, expectedMilliseconds, classRank: 0 }
      return decideRetry({ budget, request, now, random })
    }
  }
}
