// Events, commands and state of the connection health of one server. Times are monotonic milliseconds.

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
  /** A new connection was refused or timed out, or a check on one stayed unanswered. */
  | { kind: ConnectionEventKind.OpenFailed }
  /** A request goes out on a connection. One that may not be run twice is not interrupted before its deadline. */
  | { kind: ConnectionEventKind.Sent, connectionId: number, deadlineAt: number, interruptible: boolean }
  /** A byte came in. May be reported at most once per millisecond and connection. */
  | { kind: ConnectionEventKind.Progressed, connectionId: number }
  /** The answer is complete and the connection idle. */
  | { kind: ConnectionEventKind.Finished, connectionId: number }
  | { kind: ConnectionEventKind.Closed, connectionId: number }
  /** Comes every 10 ms or so while requests are in flight. */
  | { kind: ConnectionEventKind.Ticked }

export enum ConnectionCommandKind {
  Close = 'close',
  CheckNewConnection = 'check-new-connection',
  BlameServer = 'blame-server'
}

export enum CloseReason {
  /** Its request got no byte for half of its deadline while other connections made progress. */
  Silent = 'silent',
  /** Idle, and opened no later than a silent one. */
  AsOldAsSilent = 'as-old-as-silent'
}

export type ConnectionCommand =
  | { kind: ConnectionCommandKind.Close, connectionId: number, reason: CloseReason }
  /** Open a connection and send `GET /.load` on it; report it as a connection, or as `OpenFailed`. */
  | { kind: ConnectionCommandKind.CheckNewConnection }
  /** Old connections are silent and new ones fail: treat the server as failed. */
  | { kind: ConnectionCommandKind.BlameServer }

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
  noticedSilent: boolean
  exchange?: Exchange
}

export interface ConnectionHealthState {
  connections: Map<number, Connection>
  /** The two connections that delivered a byte most recently, the latest first. */
  progress: Array<{ connectionId: number, at: number }>
  /** When the youngest silent connection was opened, and when that was noticed. */
  silentOpenedAt: number
  silentNoticedAt: number
  checkStartedAt: number
  failedOpens: number
}
