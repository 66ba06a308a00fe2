// Finds connections to one server that have gone silent for good, as after the loss of state in a
// device on the way, while new connections work. A connection that is silent for half of its request's
// deadline is closed if another one made progress meanwhile. If none did, which is the case when all
// old connections are silent, a check on a new connection tells a lost path from a stuck server. The
// server is blamed only if new connections fail too.
import {
  CloseReason, ConnectionCommandKind, ConnectionEventKind,
  type Connection, type ConnectionCommand, type ConnectionEvent, type ConnectionHealthState, type Exchange
} from './connectionTypes.js'

const silentDeadlineShare = 0.5
/** The check starts earlier, so that its answer is there when half of the deadline is over. */
const checkDeadlineShare = 0.25
const checkIntervalMilliseconds = 1_000
/** One refused connection may be a full accept queue. */
const failedOpensForBlame = 2

/** Creates the state of one server. */
export function createConnectionHealthState (): ConnectionHealthState {
  return { connections: new Map(), progress: [], silentOpenedAt: -Infinity, silentNoticedAt: -Infinity, checkStartedAt: -Infinity, failedOpens: 0 }
}

export interface StepConnectionHealthOptions {
  state: ConnectionHealthState
  event: ConnectionEvent
  now: number
}

type Step<Kind extends ConnectionEventKind> = (options: StepConnectionHealthOptions & { event: Extract<ConnectionEvent, { kind: Kind }> }) => ConnectionCommand[]

const open: Step<ConnectionEventKind.Opened> = ({ state, event: { connectionId }, now }) => {
  state.connections.set(connectionId, { connectionId, openedAt: now, lastByteAt: now, noticedSilent: false })
  return []
}

const send: Step<ConnectionEventKind.Sent> = ({ state, event: { connectionId, deadlineAt, interruptible }, now }) => {
  const connection = state.connections.get(connectionId)
  if (connection !== undefined) connection.exchange = { sentAt: now, deadlineAt, interruptible }
  return []
}

const progress = ({ state, event: { connectionId }, now }: { state: ConnectionHealthState, event: { connectionId: number }, now: number }): ConnectionCommand[] => {
  const connection = state.connections.get(connectionId)
  if (connection === undefined) return []
  connection.lastByteAt = now
  state.failedOpens = 0
  connection.noticedSilent = false
  const [latest] = state.progress
  if (latest?.connectionId === connectionId) latest.at = now
  else state.progress = [{ connectionId, at: now }, ...(latest === undefined ? [] : [latest])]
  return []
}

const finish: Step<ConnectionEventKind.Finished> = options => {
  progress(options)
  const connection = options.state.connections.get(options.event.connectionId)
  if (connection !== undefined) connection.exchange = undefined
  return []
}

const quietSince = (connection: Connection, { sentAt }: Exchange): number => Math.max(sentAt, connection.lastByteAt)

const isQuietFor = (connection: Connection, share: number, now: number): boolean => {
  const { exchange } = connection
  return exchange !== undefined && now - quietSince(connection, exchange) >= (exchange.deadlineAt - exchange.sentAt) * share
}

// Only progress in the later half of the quiet time counts: a server that froze made progress before.
const hasProgressElsewhere = ({ progress }: ConnectionHealthState, connection: Connection, now: number): boolean => {
  const middle = (quietSince(connection, connection.exchange as Exchange) + now) / 2
  return progress.some(({ connectionId, at }) => connectionId !== connection.connectionId && at > middle)
}

/** Whether an idle connection may carry a request: it is younger than the silent ones, or delivered a byte since they were noticed. */
export function mayCarryRequest (state: ConnectionHealthState, connectionId: number): boolean {
  const connection = state.connections.get(connectionId)
  return connection !== undefined && (connection.openedAt > state.silentOpenedAt || connection.lastByteAt > state.silentNoticedAt)
}

const noteSilent = (state: ConnectionHealthState, silent: Connection[], now: number): void => {
  const unnoticed = silent.filter(({ noticedSilent }) => !noticedSilent)
  if (unnoticed.length === 0) return
  state.silentOpenedAt = Math.max(state.silentOpenedAt, ...unnoticed.map(({ openedAt }) => openedAt))
  state.silentNoticedAt = now
  unnoticed.forEach(connection => { connection.noticedSilent = true })
}

const close = (state: ConnectionHealthState, { connectionId }: Connection, reason: CloseReason): ConnectionCommand => {
  state.connections.delete(connectionId)
  return { kind: ConnectionCommandKind.Close, connectionId, reason }
}

const closeSilent = (state: ConnectionHealthState, silent: Connection[], now: number): ConnectionCommand[] => {
  noteSilent(state, silent, now)
  // A silent request that may not be run twice waits for its deadline: an early close gains its guest nothing.
  const closable = silent.filter(({ exchange }) => exchange?.interruptible === true || (exchange?.deadlineAt ?? 0) <= now)
  const idle = [...state.connections.values()].filter(({ connectionId, exchange }) => exchange === undefined && !mayCarryRequest(state, connectionId))
  return [
    ...closable.map(connection => close(state, connection, CloseReason.Silent)),
    ...idle.map(connection => close(state, connection, CloseReason.AsOldAsSilent))
  ]
}

const startCheck = (state: ConnectionHealthState, now: number): ConnectionCommand[] => {
  if (now - state.checkStartedAt < checkIntervalMilliseconds) return []
  state.checkStartedAt = now
  return [{ kind: ConnectionCommandKind.CheckNewConnection }]
}

const tick: Step<ConnectionEventKind.Ticked> = ({ state, now }) => {
  const quiet = [...state.connections.values()].filter(connection => isQuietFor(connection, checkDeadlineShare, now))
  if (quiet.length === 0) return []
  const silent = quiet.filter(connection => isQuietFor(connection, silentDeadlineShare, now) && hasProgressElsewhere(state, connection, now))
  const undecided = quiet.some(connection => !hasProgressElsewhere(state, connection, now))
  return [...(silent.length === 0 ? [] : closeSilent(state, silent, now)), ...(undecided ? startCheck(state, now) : [])]
}

const failOpen: Step<ConnectionEventKind.OpenFailed> = ({ state, now }) => {
  state.failedOpens += 1
  const quiet = [...state.connections.values()].some(connection => isQuietFor(connection, checkDeadlineShare, now) && !hasProgressElsewhere(state, connection, now))
  if (!quiet || state.failedOpens < failedOpensForBlame) return []
  state.failedOpens = 0
  return [{ kind: ConnectionCommandKind.BlameServer }]
}

const forget: Step<ConnectionEventKind.Closed> = ({ state, event: { connectionId } }) => {
  state.connections.delete(connectionId)
  return []
}

const steps: { [Kind in ConnectionEventKind]: Step<Kind> } = {
  [ConnectionEventKind.Opened]: open,
  [ConnectionEventKind.OpenFailed]: failOpen,
  [ConnectionEventKind.Sent]: send,
  [ConnectionEventKind.Progressed]: progress,
  [ConnectionEventKind.Finished]: finish,
  [ConnectionEventKind.Closed]: forget,
  [ConnectionEventKind.Ticked]: tick
}

/** Advances the health of the connections to one server by one event. A connection named by `close` is forgotten at once. */
export function stepConnectionHealth (options: StepConnectionHealthOptions): ConnectionCommand[] {
  const step = steps[options.event.kind] as Step<ConnectionEventKind>
  return step(options as Parameters<typeof step>[0])
}
