// Detects connections to one server that are permanently silent although new connections work, for example after
// a network device on the path lost its connection state. A connection without data for half of the deadline of
// its request is closed if another connection made progress meanwhile. If none did, because all existing
// connections are silent, a check on a new connection distinguishes a broken path from a hung server. The server
// is reported as failed only if new connections fail too.
import {
  CloseReason, ConnectionCommandKind, ConnectionEventKind,
  type Connection, type ConnectionCommand, type ConnectionEvent, type ConnectionHealthState, type Exchange
} from './connectionTypes.js'

const silentDeadlineRatio = 0.5
/** The check starts earlier, so that its response has arrived when half of the deadline has passed. */
const checkDeadlineRatio = 0.25
const checkIntervalMilliseconds = 1_000
/** A single refused connection may be due to a full accept queue. */
const failedOpensForServerFailure = 2

/** Creates the state of one server. */
export function createConnectionHealthState (): ConnectionHealthState {
  return { connections: new Map(), latestProgress: [], newestSilentOpenedAt: -Infinity, silentDetectedAt: -Infinity, checkStartedAt: -Infinity, failedOpens: 0 }
}

export interface StepConnectionHealthOptions {
  state: ConnectionHealthState
  event: ConnectionEvent
  now: number
}

type Step<Kind extends ConnectionEventKind> = (options: StepConnectionHealthOptions & { event: Extract<ConnectionEvent, { kind: Kind }> }) => ConnectionCommand[]

const handleOpened: Step<ConnectionEventKind.Opened> = ({ state, event: { connectionId }, now }) => {
  state.connections.set(connectionId, { connectionId, openedAt: now, lastByteAt: now, detectedSilent: false })
  return []
}

const handleSent: Step<ConnectionEventKind.Sent> = ({ state, event: { connectionId, deadlineAt, interruptible }, now }) => {
  const connection = state.connections.get(connectionId)
  if (connection !== undefined) connection.exchange = { sentAt: now, deadlineAt, interruptible }
  return []
}

const handleProgress = ({ state, event: { connectionId }, now }: { state: ConnectionHealthState, event: { connectionId: number }, now: number }): ConnectionCommand[] => {
  const connection = state.connections.get(connectionId)
  if (connection === undefined) return []
  connection.lastByteAt = now
  state.failedOpens = 0
  connection.detectedSilent = false
  const [latest] = state.latestProgress
  if (latest?.connectionId === connectionId) latest.at = now
  else state.latestProgress = [{ connectionId, at: now }, ...(latest === undefined ? [] : [latest])]
  return []
}

const handleFinished: Step<ConnectionEventKind.Finished> = options => {
  handleProgress(options)
  const connection = options.state.connections.get(options.event.connectionId)
  if (connection !== undefined) connection.exchange = undefined
  return []
}

const inactiveSince = (connection: Connection, { sentAt }: Exchange): number => Math.max(sentAt, connection.lastByteAt)

const isInactiveFor = (connection: Connection, ratio: number, now: number): boolean => {
  const { exchange } = connection
  return exchange !== undefined && now - inactiveSince(connection, exchange) >= (exchange.deadlineAt - exchange.sentAt) * ratio
}

// Only progress in the second half of the silent period counts: a server that hangs made progress before it hung.
const hasProgressElsewhere = ({ latestProgress }: ConnectionHealthState, connection: Connection, now: number): boolean => {
  const middle = (inactiveSince(connection, connection.exchange as Exchange) + now) / 2
  return latestProgress.some(({ connectionId, at }) => connectionId !== connection.connectionId && at > middle)
}

/** Whether an idle connection may be used: it is newer than the silent ones, or has received data since they were detected. */
export function isConnectionUsable (state: ConnectionHealthState, connectionId: number): boolean {
  const connection = state.connections.get(connectionId)
  return connection !== undefined && (connection.openedAt > state.newestSilentOpenedAt || connection.lastByteAt > state.silentDetectedAt)
}

const recordSilent = (state: ConnectionHealthState, silent: Connection[], now: number): void => {
  const newlySilent = silent.filter(({ detectedSilent }) => !detectedSilent)
  if (newlySilent.length === 0) return
  state.newestSilentOpenedAt = Math.max(state.newestSilentOpenedAt, ...newlySilent.map(({ openedAt }) => openedAt))
  state.silentDetectedAt = now
  newlySilent.forEach(connection => { connection.detectedSilent = true })
}

const close = (state: ConnectionHealthState, { connectionId }: Connection, reason: CloseReason): ConnectionCommand => {
  state.connections.delete(connectionId)
  return { kind: ConnectionCommandKind.Close, connectionId, reason }
}

const closeSilent = (state: ConnectionHealthState, silent: Connection[], now: number): ConnectionCommand[] => {
  recordSilent(state, silent, now)
  // A request that must not be executed twice keeps its connection until its deadline, since closing it early
  // would not help the guest.
  const closable = silent.filter(({ exchange }) => exchange?.interruptible === true || (exchange?.deadlineAt ?? 0) <= now)
  const idle = [...state.connections.values()].filter(({ connectionId, exchange }) => exchange === undefined && !isConnectionUsable(state, connectionId))
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

const handleTick: Step<ConnectionEventKind.Ticked> = ({ state, now }) => {
  const inactive = [...state.connections.values()].filter(connection => isInactiveFor(connection, checkDeadlineRatio, now))
  if (inactive.length === 0) return []
  const silent = inactive.filter(connection => isInactiveFor(connection, silentDeadlineRatio, now) && hasProgressElsewhere(state, connection, now))
  const undecided = inactive.some(connection => !hasProgressElsewhere(state, connection, now))
  return [...(silent.length === 0 ? [] : closeSilent(state, silent, now)), ...(undecided ? startCheck(state, now) : [])]
}

const handleOpenFailed: Step<ConnectionEventKind.OpenFailed> = ({ state, now }) => {
  state.failedOpens += 1
  const hasInactive = [...state.connections.values()].some(connection => isInactiveFor(connection, checkDeadlineRatio, now) && !hasProgressElsewhere(state, connection, now))
  if (!hasInactive || state.failedOpens < failedOpensForServerFailure) return []
  state.failedOpens = 0
  return [{ kind: ConnectionCommandKind.ReportServerFailure }]
}

const handleClosed: Step<ConnectionEventKind.Closed> = ({ state, event: { connectionId } }) => {
  state.connections.delete(connectionId)
  return []
}

const steps: { [Kind in ConnectionEventKind]: Step<Kind> } = {
  [ConnectionEventKind.Opened]: handleOpened,
  [ConnectionEventKind.OpenFailed]: handleOpenFailed,
  [ConnectionEventKind.Sent]: handleSent,
  [ConnectionEventKind.Progressed]: handleProgress,
  [ConnectionEventKind.Finished]: handleFinished,
  [ConnectionEventKind.Closed]: handleClosed,
  [ConnectionEventKind.Ticked]: handleTick
}

/** Processes one event of the connections to one server. A connection is removed from the state with its `close` command. */
export function stepConnectionHealth (options: StepConnectionHealthOptions): ConnectionCommand[] {
  const step = steps[options.event.kind] as Step<ConnectionEventKind>
  return step(options as Parameters<typeof step>[0])
}
