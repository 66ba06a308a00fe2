// Updates the state of server choice with the outcomes of requests and with load reports from any source.
import { ReportSource } from '@siskinbeam/probing/loadReport'
import { addToPool, removeFromPool } from '@siskinbeam/probing/reportPool'
import {
  ChoiceEventKind, CompletionKind, createServerStatistics,
  type ChoiceEvent, type ServerChoiceState, type ServerStatistics
} from './choiceState.js'

const serverLatencySmoothingFactor = 0.2
const serviceSmoothingFactor = 0.02
// A failure counts as a response with at least this multiple of the mean latency.
const failureLatencyMultiplier = 5

export interface StepServerChoiceOptions {
  state: ServerChoiceState
  event: ChoiceEvent
  now: number
}

type EventOf<Kind extends ChoiceEventKind> = Extract<ChoiceEvent, { kind: Kind }>
type Handlers = { [Kind in ChoiceEventKind]: (state: ServerChoiceState, event: EventOf<Kind>, now: number) => void }

/** Updates the state for one event. Events for unknown servers are ignored. */
export function stepServerChoice ({ state, event, now }: StepServerChoiceOptions): void {
  const handle = handlers[event.kind] as (state: ServerChoiceState, event: ChoiceEvent, now: number) => void
  handle(state, event, now)
}

const handlers: Handlers = {
  [ChoiceEventKind.ServersChanged]: (state, { servers }) => {
    state.servers = servers.map(server => Object.assign(state.byName.get(server.name) ?? createServerStatistics(server), { slots: server.slots }))
    state.byName = new Map(state.servers.map(server => [server.name, server]))
    state.pool.entries = state.pool.entries.filter(({ server }) => state.byName.has(server.name))
  },
  [ChoiceEventKind.Sent]: (state, { server }) => {
    const load = state.byName.get(server)
    if (load === undefined) return
    load.ownInFlight += 1
    load.ownInFlightDelta += 1
  },
  [ChoiceEventKind.Completed]: (state, { server, completion, latencyMilliseconds }, now) => {
    const load = state.byName.get(server)
    if (load === undefined) return
    endOwnRequest(load)
    completionHandlers[completion](state, load, latencyMilliseconds, now)
  },
  [ChoiceEventKind.Reported]: (state, { server, report, source, ageMilliseconds }, now) => {
    const load = state.byName.get(server)
    // A negative age can only result from an error of the sender.
    const reportedAt = now - Math.max(0, ageMilliseconds)
    if (load === undefined || reportedAt < load.reportedAt) return
    load.reportedInFlight = report.inFlight
    load.reportedAt = reportedAt
    load.ownInFlightDelta = 0
    if (report.slots !== undefined) load.slots = report.slots
    state.meanLoadPerSlot += (report.inFlight / load.slots - state.meanLoadPerSlot) * serviceSmoothingFactor
    // Several hosts may get the same peer report at the same time and would all choose the same server.
    if (source !== ReportSource.Peer) addToPool(state.pool, load, reportedAt)
  },
  [ChoiceEventKind.Shed]: (state, { server }, now) => {
    const load = state.byName.get(server)
    if (load === undefined) return
    endOwnRequest(load)
    // A server that sheds requests has all slots in use, regardless of its latest report.
    load.reportedInFlight = Math.max(load.reportedInFlight, load.slots + 1)
    load.reportedAt = now
    load.ownInFlightDelta = 0
    removeFromPool(state.pool, load)
  }
}

function endOwnRequest (load: ServerStatistics): void {
  load.ownInFlight = Math.max(0, load.ownInFlight - 1)
  load.ownInFlightDelta -= 1
}

type CompletionHandler = (state: ServerChoiceState, load: ServerStatistics, latencyMilliseconds: number, now: number) => void

const completionHandlers: Record<CompletionKind, CompletionHandler> = {
  [CompletionKind.Responded]: (state, load, latencyMilliseconds, now) => {
    recordServerLatency(load, latencyMilliseconds, now)
    state.meanLatencyMilliseconds += (latencyMilliseconds - state.meanLatencyMilliseconds) * serviceSmoothingFactor
  },
  // Without a penalty, a server that fails immediately would appear to be the fastest.
  [CompletionKind.Failed]: (state, load, latencyMilliseconds, now) =>
    recordServerLatency(load, Math.max(latencyMilliseconds, failureLatencyMultiplier * state.meanLatencyMilliseconds), now),
  // The time until a cancellation is a lower bound of the latency, so it counts only if it exceeds the average.
  [CompletionKind.Cancelled]: (state, load, latencyMilliseconds, now) => {
    if (latencyMilliseconds > (load.latencyMilliseconds ?? state.meanLatencyMilliseconds)) recordServerLatency(load, latencyMilliseconds, now)
  }
}

function recordServerLatency (load: ServerStatistics, latencyMilliseconds: number, now: number): void {
  const previous = load.latencyMilliseconds ?? latencyMilliseconds
  load.latencyMilliseconds = previous + (latencyMilliseconds - previous) * serverLatencySmoothingFactor
  load.latencyUpdatedAt = now
}
