// Discrete-event simulation of entry hosts that share servers, for the tests of admission control. Servers
// have slots and a short queue, and shed requests when both are full. A host selects the least loaded of
// three random servers by load reports that are up to 10 ms old, plus its own sends since.
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import { createRandom, drawExponential, drawLognormal, sample, type Random } from '@siskinbeam/random/createRandom'
import { createRetryBudget, recordFirstSend } from '@siskinbeam/retries/retryBudget'
import { decideRetry, RetryCause } from '@siskinbeam/retries/decideRetry'
import { AdmissionCommandKind, AdmissionEventKind, type AdmissionCommand, type AdmissionEvent } from '../src/admissionTypes.js'
import { createAdmissionState, stepAdmission } from '../src/stepAdmission.js'

const [hostCount, serverCount, slots] = [20, 25, 3]
const [serviceMilliseconds, networkMilliseconds, deadlineMilliseconds, loadAgeMilliseconds] = [20, 0.5, 250, 10]
export const capacityPerSecond = serverCount * slots * 1_000 / serviceMilliseconds

interface Call { id: string, rank: number, arrivedAt: number, sends: number }
interface Server { index: number, busy: number, waiting: Array<() => void>, reportedLoad: number, ownSends: number[] }
export interface CompletedCall { rank: number, arrivedAt: number, respondedAt: number, inTime: boolean }
export interface OverloadResult { completed: CompletedCall[], offered: number[], refused: number[], sends: number, sheds: number, steps: number, limits: number[] }

/** Simulates an offered load of `loadAt(now)` times the capacity; half of the calls are of class 0. */
export function simulateOverload (seed: number, serverQueue: number, endMilliseconds: number, loadAt: (now: number) => number): OverloadResult {
  const random: Random = createRandom(seed)
  const scheduledActions = new Map<number, Array<() => void>>() // keyed by time in units of 10 us
  let tick = 0
  const scheduleAt = (time: number, action: () => void): void => {
    const unit = Math.max(tick, Math.round(time * 100))
    const actions = scheduledActions.get(unit)
    if (actions === undefined) scheduledActions.set(unit, [action])
    else actions.push(action)
  }
  const result: OverloadResult = { completed: [], offered: [0, 0], refused: [0, 0], sends: 0, sheds: 0, steps: 0, limits: [] }
  const servers: Server[] = Array.from({ length: serverCount }, (_, index) => ({ index, busy: 0, waiting: [], reportedLoad: 0, ownSends: Array.from({ length: hostCount }, () => 0) }))
  const hosts = Array.from({ length: hostCount }, (_, index) => ({
    index,
    calls: new Map<string, Call>(),
    budget: createRetryBudget({ budgetShare: 0.1, now: 0 }),
    state: createAdmissionState({ queueLength: 100, classCount: 2, initialLimit: 20, maximumLimit: serverCount * (slots + serverQueue) })
  }))
  type Host = typeof hosts[number]
  const now = (): number => tick / 100

  const step = (host: Host, event: AdmissionEvent): void => {
    result.steps += 1
    stepAdmission({ state: host.state, event, now: now(), random }).forEach(command => executeCommand(host, command))
  }
  const executeCommand = (host: Host, command: AdmissionCommand): void => {
    const call = host.calls.get(command.requestId) as Call
    if (command.kind === AdmissionCommandKind.Admit) {
      recordFirstSend(host.budget, now())
      send(host, call)
    } else {
      host.calls.delete(call.id)
      result.refused[call.rank] = (result.refused[call.rank] as number) + 1
    }
  }
  const send = (host: Host, call: Call): void => {
    call.sends += 1
    result.sends += 1
    const load = (server: Server): number => server.reportedLoad + (server.ownSends[host.index] as number)
    const server = sample(random, servers, 3).reduce((best, other) => load(other) < load(best) ? other : best)
    server.ownSends[host.index] = (server.ownSends[host.index] as number) + 1
    scheduleAt(now() + networkMilliseconds, () => receive(server, host, call))
  }
  const receive = (server: Server, host: Host, call: Call): void => {
    if (server.busy + server.waiting.length >= slots + serverQueue) {
      scheduleAt(now() + networkMilliseconds, () => handleShed(host, call))
    } else if (server.busy < slots) start(server, host, call)
    else server.waiting.push(() => start(server, host, call))
  }
  const start = (server: Server, host: Host, call: Call): void => {
    server.busy += 1
    scheduleAt(now() + drawLognormal(random, serviceMilliseconds, 0.5), () => {
      server.busy -= 1
      server.waiting.shift()?.()
      scheduleAt(now() + networkMilliseconds, () => respond(host, call))
    })
  }
  const respond = (host: Host, call: Call): void => {
    host.calls.delete(call.id)
    const inTime = now() <= call.arrivedAt + deadlineMilliseconds
    result.completed.push({ rank: call.rank, arrivedAt: call.arrivedAt, respondedAt: now(), inTime })
    step(host, { kind: AdmissionEventKind.Finished, requestId: call.id })
  }
  const handleShed = (host: Host, call: Call): void => {
    result.sheds += 1
    const decision = decideRetry({
      budget: host.budget,
      request: { cause: RetryCause.NotStarted, idempotent: false, retriedByCaller: false, maximumAttempts: 3, sends: call.sends, classRank: call.rank, deadlineAt: call.arrivedAt + deadlineMilliseconds, expectedMilliseconds: serviceMilliseconds },
      now: now(),
      random
    })
    if (decision.retries) scheduleAt(now() + decision.delayMilliseconds, () => send(host, call))
    step(host, { kind: AdmissionEventKind.Shed, requestId: call.id, resends: decision.retries, refusalOutcome: Outcome.NotRun })
  }
  const arrive = (): void => {
    const host = hosts[Math.floor(random() * hostCount)] as Host
    const call: Call = { id: String(result.steps), rank: random() < 0.5 ? 0 : 1, arrivedAt: now(), sends: 0 }
    host.calls.set(call.id, call)
    result.offered[call.rank] = (result.offered[call.rank] as number) + 1
    step(host, { kind: AdmissionEventKind.Arrived, requestId: call.id, classRank: call.rank, deadlineAt: now() + deadlineMilliseconds, refusalOutcome: Outcome.NotRun })
    scheduleAt(now() + drawExponential(random, 1_000 / (capacityPerSecond * loadAt(now()))), arrive)
  }
  const refreshLoadReports = (): void => {
    servers.forEach(server => {
      server.reportedLoad = server.busy + server.waiting.length
      server.ownSends.fill(0)
    })
    hosts.forEach(host => step(host, { kind: AdmissionEventKind.Ticked }))
    scheduleAt(now() + loadAgeMilliseconds, refreshLoadReports)
  }
  arrive()
  refreshLoadReports()
  for (; now() < endMilliseconds; tick += 1) {
    const actions = scheduledActions.get(tick)
    for (let index = 0; index < (actions?.length ?? 0); index += 1) actions?.[index]?.()
    scheduledActions.delete(tick)
  }
  result.limits = hosts.map(({ state }) => state.limit.value)
  return result
}
