// Simulated entry host: passes requests through the decision modules in the same way as the daemon.
import { createHedgingState, decideHedge, HedgeDecisionKind, recordRequestLatency } from '@siskinbeam/hedging/decideHedge'
import { createMeasuringBudgetState, takeMeasuringBudget, type MeasuringBudget } from '@siskinbeam/measuring-budget/takeMeasuringBudget'
import { ReportSource, type AgedReport, type LoadReport } from '@siskinbeam/probing/loadReport'
import { createProbingState, ProbingCommandKind, ProbingEventKind, stepProbing, tickMilliseconds, type ProbingCommand, type ProbingEvent } from '@siskinbeam/probing/stepProbing'
import { drawLognormal, pickIndex, type Random } from '@siskinbeam/random/createRandom'
import { chooseServer } from '@siskinbeam/server-choice/chooseServer'
import { ChoiceEventKind, CompletionKind, createServerChoiceState, type ChoiceEvent } from '@siskinbeam/server-choice/choiceState'
import { stepServerChoice } from '@siskinbeam/server-choice/stepServerChoice'
import { createServerHealthState, HealthCommandKind, HealthEventKind, type HealthEvent } from '@siskinbeam/server-health/healthState'
import { readServerWeight } from '@siskinbeam/server-health/readServerWeight'
import { stepServerHealth } from '@siskinbeam/server-health/stepServerHealth'
import type { VirtualTime } from './eventQueue.js'
import { deadlineMilliseconds, hedgePercentile, maximumAttempts, meanServiceTimeMilliseconds, oneWayMilliseconds, retryBudgetRatio, WorkDraw, serviceTimeSigma, type Scenario, type Variant } from './scenario.js'
import type { SimulatedServer } from './simulatedServer.js'

/** Event counts over all hosts of a run. */
export interface SimulationCounts {
  probes: number
  shares: number
  sheds: number
  hedges: number
  failed: number
  ejections: number
}

export interface SimulatedHostOptions {
  time: VirtualTime
  random: Random
  name: string
  scenario: Scenario
  variant: Variant
  servers: Map<string, SimulatedServer>
  budget: MeasuringBudget
  counts: SimulationCounts
  /** Requests per server that it holds or that are on their way to it, over all hosts. */
  assigned: Map<string, number>
  /** Called when a request ends, with its latency, or with the deadline if it failed. */
  record: (milliseconds: number, arrivedAt: number) => void
}

export interface SimulatedHost {
  name: string
  handleRequest: (serviceTimeMilliseconds: number) => void
  receiveReports: (reports: readonly AgedReport[]) => void
  /** Starts the control loop. `send` delivers load reports to a peer. */
  start: (peers: string[], send: (peer: string, reports: AgedReport[]) => void) => void
}

interface Request {
  serviceTimeMilliseconds: number
  arrivedAt: number
  attempts: Attempt[]
  hedgesSent: number
  isOver: boolean
}

interface Attempt {
  server: string
  sentAt: number
  isOpen: boolean
  cancel: () => void
}

// Capacity of the retry budget, which is full at the start of a run.
const maximumRetryTokens = 10

/** Creates a host that uses all servers, without subsets. */
export function createSimulatedHost (options: SimulatedHostOptions): SimulatedHost {
  const { time, random, scenario, variant, servers, counts, assigned } = options
  const serverList = [...servers.values()].map(({ name, slots }) => ({ name, slots }))
  const names = serverList.map(({ name }) => name)
  const choice = createServerChoiceState(variant.tuning)
  const health = createServerHealthState()
  const hedging = createHedgingState({ enabled: variant.hedging, percentile: hedgePercentile })
  const measuring = createMeasuringBudgetState()
  const probing = createProbingState({ probesPerRequest: variant.probing ? scenario.probesPerRequest : 0, shareReportsWithPeers: variant.sharing })
  let retryTokens = maximumRetryTokens
  let sendReports: (peer: string, reports: AgedReport[]) => void = () => {}

  const stepChoice = (event: ChoiceEvent): void => stepServerChoice({ state: choice, event, now: time.now })
  const stepHealth = (event: HealthEvent): void => {
    if (variant.ejection) counts.ejections += stepServerHealth({ state: health, event, now: time.now }).filter(({ kind }) => kind === HealthCommandKind.Eject).length
  }
  const readWeight = (server: string): number => variant.ejection ? readServerWeight(health, server, time.now) : 1
  const readExactLoad = (server: string): number => (assigned.get(server) ?? 0) / (servers.get(server)?.slots ?? 1)
  const assign = (server: string, change: number): void => { assigned.set(server, (assigned.get(server) ?? 0) + change) }

  const runProbing = (event: ProbingEvent): void => {
    const takeBudget: Parameters<typeof stepProbing>[0]['takeBudget'] = cost => takeMeasuringBudget({ state: measuring, cost, budget: options.budget, now: time.now })
    stepProbing({ state: probing, event, now: time.now, random, takeBudget }).forEach(executeCommand)
  }
  const executeCommand = (command: ProbingCommand): void => {
    if (command.kind === ProbingCommandKind.ShareReports) {
      counts.shares += 1
      time.schedule(oneWayMilliseconds, () => sendReports(command.peer, command.reports))
      return
    }
    counts.probes += 1
    time.schedule(oneWayMilliseconds, () => {
      const report = servers.get(command.server)?.report() as LoadReport
      time.schedule(oneWayMilliseconds, () => handleReport(command.server, report, ReportSource.Probe))
    })
  }
  const handleReport = (server: string, report: LoadReport, source: ReportSource): void => {
    stepChoice({ kind: ChoiceEventKind.Reported, server, report, source, ageMilliseconds: oneWayMilliseconds })
    runProbing({ kind: ProbingEventKind.Reported, server, report, source })
  }

  const finish = (request: Request, failed: boolean): void => {
    request.isOver = true
    if (failed) counts.failed += 1
    else recordRequestLatency(hedging, time.now - request.arrivedAt)
    options.record(failed ? deadlineMilliseconds : time.now - request.arrivedAt, request.arrivedAt)
  }
  const onShed = (request: Request, attempt: Attempt, report: LoadReport): void => {
    attempt.isOpen = false
    counts.sheds += 1
    stepChoice({ kind: ChoiceEventKind.Shed, server: attempt.server })
    handleReport(attempt.server, report, ReportSource.Response)
    if (request.isOver || request.attempts.some(({ isOpen }) => isOpen)) return
    const mayRetry = request.attempts.length < maximumAttempts && retryTokens >= 1
    if (mayRetry) retryTokens -= 1
    if (!mayRetry || !send(request)) finish(request, true)
  }
  const onResponse = (request: Request, attempt: Attempt, report: LoadReport): void => {
    if (!attempt.isOpen) return
    attempt.isOpen = false
    const latencyMilliseconds = time.now - attempt.sentAt
    stepChoice({ kind: ChoiceEventKind.Completed, server: attempt.server, completion: CompletionKind.Responded, latencyMilliseconds })
    stepHealth({ kind: HealthEventKind.Responded, server: attempt.server, signs: { draining: false }, latencyMilliseconds })
    handleReport(attempt.server, report, ReportSource.Response)
    request.attempts.filter(({ isOpen }) => isOpen).forEach(other => {
      other.isOpen = false
      stepChoice({ kind: ChoiceEventKind.Completed, server: other.server, completion: CompletionKind.Cancelled, latencyMilliseconds: time.now - other.sentAt })
      time.schedule(oneWayMilliseconds, other.cancel)
    })
    finish(request, false)
  }
  const send = (request: Request): boolean => {
    const excluded = request.attempts.map(({ server }) => server)
    const server = chooseServer({ state: choice, policy: variant.policy, now: time.now, random, readWeight, excluded, readExactLoad })
    if (server === undefined) return false
    const attempt: Attempt = { server, sentAt: time.now, isOpen: true, cancel: () => {} }
    request.attempts.push(attempt)
    stepChoice({ kind: ChoiceEventKind.Sent, server })
    stepHealth({ kind: HealthEventKind.Sent, server })
    assign(server, 1)
    time.schedule(oneWayMilliseconds, () => deliver(request, attempt))
    return true
  }
  const deliver = (request: Request, attempt: Attempt): void => {
    const target = servers.get(attempt.server) as SimulatedServer
    const isFirst = request.attempts[0] === attempt || scenario.workDraw === WorkDraw.PerRequest
    const serviceTimeMilliseconds = isFirst ? request.serviceTimeMilliseconds : drawLognormal(random, meanServiceTimeMilliseconds, serviceTimeSigma)
    const cancel = target.accept(serviceTimeMilliseconds, () => {
      assign(attempt.server, -1)
      const report = target.report()
      attempt.cancel = () => {}
      time.schedule(oneWayMilliseconds, () => onResponse(request, attempt, report))
    })
    if (cancel === undefined) {
      assign(attempt.server, -1)
      const report = target.report()
      time.schedule(oneWayMilliseconds, () => onShed(request, attempt, report))
      return
    }
    attempt.cancel = () => {
      assign(attempt.server, -1)
      cancel()
    }
  }
  const considerHedge = (request: Request): void => {
    const sentAt = request.attempts[request.attempts.length - 1]?.sentAt
    if (request.isOver || sentAt === undefined) return
    const decision = decideHedge({
      state: hedging,
      now: time.now,
      sentAt,
      deadlineAt: request.arrivedAt + deadlineMilliseconds,
      idempotent: true,
      suspect: false,
      hedgesSent: request.hedgesSent,
      budgetAvailable: retryTokens >= 1
    })
    if (decision.kind === HedgeDecisionKind.Wait) time.schedule(decision.untilMilliseconds - time.now, () => considerHedge(request))
    if (decision.kind !== HedgeDecisionKind.Send || !send(request)) return
    retryTokens -= 1
    request.hedgesSent += 1
    counts.hedges += 1
  }

  stepChoice({ kind: ChoiceEventKind.ServersChanged, servers: serverList })
  choice.nextRoundRobin = pickIndex(random, names.length)
  stepHealth({ kind: HealthEventKind.ServersChanged, servers: names })
  runProbing({ kind: ProbingEventKind.ServersChanged, servers: names })

  return {
    name: options.name,
    handleRequest: serviceTimeMilliseconds => {
      retryTokens = Math.min(retryTokens + retryBudgetRatio, maximumRetryTokens)
      const request: Request = { serviceTimeMilliseconds, arrivedAt: time.now, attempts: [], hedgesSent: 0, isOver: false }
      if (!send(request)) finish(request, true)
      else considerHedge(request)
      runProbing({ kind: ProbingEventKind.RequestArrived })
    },
    receiveReports: reports => reports.forEach(({ server, ageMilliseconds, report }) => {
      stepChoice({ kind: ChoiceEventKind.Reported, server, report, source: ReportSource.Peer, ageMilliseconds: ageMilliseconds + oneWayMilliseconds })
    }),
    start: (peers, deliverReports) => {
      sendReports = deliverReports
      const tick = (): void => {
        runProbing({ kind: ProbingEventKind.Tick, zeroWeightServers: names.filter(name => readWeight(name) === 0), peers })
        time.schedule(tickMilliseconds, tick)
      }
      time.schedule(random() * tickMilliseconds, tick)
    }
  }
}
