// Takes what happens to requests, and load reports from any source, into the state of the choice.
import { ReportSource } from '@siskinbeam/probing/loadReport'
import { addToPool, removeFromPool } from '@siskinbeam/probing/reportPool'
import {
  ChoiceEventKind, CompletionKind, createServerLoad,
  type ChoiceEvent, type ServerChoiceState, type ServerLoad
} from './choiceState.js'

const serverLatencySmoothing = 0.2
const serviceSmoothing = 0.02
// A failure counts as a response that takes this many times the mean.
const failureLatencies = 5

export interface StepServerChoiceOptions {
  state: ServerChoiceState
  event: ChoiceEvent
  now: number
}

type EventOf<Kind extends ChoiceEventKind> = Extract<ChoiceEvent, { kind: Kind }>
type Handlers = { [Kind in ChoiceEventKind]: (state: ServerChoiceState, event: EventOf<Kind>, now: number) => void }

/** Takes one event into the state. Events about servers that are not in use are ignored. */
export function stepServerChoice ({ state, event, now }: StepServerChoiceOptions): void {
  const handle = handlers[event.kind] as (state: ServerChoiceState, event: ChoiceEvent, now: number) => void
  handle(state, event, now)
}

const handlers: Handlers = {
  [ChoiceEventKind.ServersChanged]: (state, { servers }) => {
    state.servers = servers.map(server => Object.assign(state.byName.get(server.name) ?? createServerLoad(server), { slots: server.slots }))
    state.byName = new Map(state.servers.map(server => [server.name, server]))
    state.pool.entries = state.pool.entries.filter(({ server }) => state.byName.has(server.name))
  },
  [ChoiceEventKind.Sent]: (state, { server }) => {
    const load = state.byName.get(server)
    if (load === undefined) return
    load.ownInFlight += 1
    load.ownChange += 1
  },
  [ChoiceEventKind.Completed]: (state, { server, completion, latencyMilliseconds }, now) => {
    const load = state.byName.get(server)
    if (load === undefined) return
    endOwnRequest(load)
    noteCompletion[completion](state, load, latencyMilliseconds, now)
  },
  [ChoiceEventKind.Reported]: (state, { server, report, source, ageMilliseconds }, now) => {
    const load = state.byName.get(server)
    // A negative age can only come from a fault of the sender.
    const at = now - Math.max(0, ageMilliseconds)
    if (load === undefined || at < load.reportedAt) return
    load.reportedInFlight = report.inFlight
    load.reportedAt = at
    load.ownChange = 0
    if (report.slots !== undefined) load.slots = report.slots
    state.meanLoadPerSlot += (report.inFlight / load.slots - state.meanLoadPerSlot) * serviceSmoothing
    // A report that several hosts get at once would send them all to the same server.
    if (source !== ReportSource.Peer) addToPool(state.pool, load, at)
  },
  [ChoiceEventKind.Shed]: (state, { server }, now) => {
    const load = state.byName.get(server)
    if (load === undefined) return
    endOwnRequest(load)
    // A server that sheds has all slots in use, whatever was last reported.
    load.reportedInFlight = Math.max(load.reportedInFlight, load.slots + 1)
    load.reportedAt = now
    load.ownChange = 0
    removeFromPool(state.pool, load)
  }
}

function endOwnRequest (load: ServerLoad): void {
  load.ownInFlight = Math.max(0, load.ownInFlight - 1)
  load.ownChange -= 1
}

type NoteLatency = (state: ServerChoiceState, load: ServerLoad, latencyMilliseconds: number, now: number) => void

const noteCompletion: Record<CompletionKind, NoteLatency> = {
  [CompletionKind.Responded]: (state, load, latencyMilliseconds, now) => {
    noteServerLatency(load, latencyMilliseconds, now)
    state.meanLatencyMilliseconds += (latencyMilliseconds - state.meanLatencyMilliseconds) * serviceSmoothing
  },
  // A server that fails at once would otherwise look like the fastest.
  [CompletionKind.Failed]: (state, load, latencyMilliseconds, now) =>
    noteServerLatency(load, Math.max(latencyMilliseconds, failureLatencies * state.meanLatencyMilliseconds), now),
  // The time until a cancellation is a lower bound of the latency, so it counts only if it is long.
  [CompletionKind.Cancelled]: (state, load, latencyMilliseconds, now) => {
    if (latencyMilliseconds > (load.latencyMilliseconds ?? state.meanLatencyMilliseconds)) noteServerLatency(load, latencyMilliseconds, now)
  }
}

function noteServerLatency (load: ServerLoad, latencyMilliseconds: number, now: number): void {
  const previous = load.latencyMilliseconds ?? latencyMilliseconds
  load.latencyMilliseconds = previous + (latencyMilliseconds - previous) * serverLatencySmoothing
  load.latencySeenAt = now
}
