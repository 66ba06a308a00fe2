// Events, commands and state of the connection health of one server. Times are milliseconds of the monotonic clock.

export enum ConnectionEventKind {
  Opened = 'opened',
  OpenFailed = 'open-failed',
  Sent = 'sent',
  Progressed = 'progressed',
  Finished = 'finished',
  Closed = 'closed',
  Ticked = 'ticked'
}

export type ConnectionEvent =
  | { kind: ConnectionEventKind.Opened, connectionId: number }
  /** A new connection was refused or timed out, or a check on one got no response. */
  | { kind: ConnectionEventKind.OpenFailed }
  /** A request was sent on a connection. A request that must not be executed twice is not interrupted before its deadline. */
  | { kind: ConnectionEventKind.Sent, connectionId: number, deadlineAt: number, interruptible: boolean }
  /** Data was received. May be reported at most once per millisecond and connection. */
  | { kind: ConnectionEventKind.Progressed, connectionId: number }
  /** The response is complete and the connection is idle. */
  | { kind: ConnectionEventKind.Finished, connectionId: number }
  | { kind: ConnectionEventKind.Closed, connectionId: number }
  /** Sent about every 10 ms while requests are in flight. */
  | { kind: ConnectionEventKind.Ticked }

export enum ConnectionCommandKind {
  Close = 'close',
  CheckNewConnection = 'check-new-connection',
  ReportServerFailure = 'blame-server'
}

export enum CloseReason {
  /** No data was received for half of the deadline of its request, while other connections made progress. */
  Silent = 'silent',
  /** The connection is idle and was opened no later than a silent one. */
  AsOldAsSilent = 'as-old-as-silent'
}

export type ConnectionCommand =
  | { kind: ConnectionCommandKind.Close, connectionId: number, reason: CloseReason }
  /** Open a connection and send `GET /.load` on it. Report it like any other connection, or as `OpenFailed`. */
  | { kind: ConnectionCommandKind.CheckNewConnection }
  /** Existing connections are silent and new ones fail: treat the server as failed. */
  | { kind: ConnectionCommandKind.ReportServerFailure }

/** A request in flight on a connection. */
export interface Exchange {
  sentAt: number
  deadlineAt: number
  interruptible: boolean
}

export interface Connection {
  connectionId: number
  openedAt: number
  lastByteAt: number
  detectedSilent: boolean
  exchange?: Exchange
}

export interface ConnectionHealthState {
  connections: Map<number, Connection>
  /** The two connections that received data most recently, the latest first. */
  latestProgress: Array<{ connectionId: number, at: number }>
  /** When the newest silent connection was opened, and when silent connections were last detected. */
  newestSilentOpenedAt: number
  silentDetectedAt: number
  checkStartedAt: number
  failedOpens: number
}
