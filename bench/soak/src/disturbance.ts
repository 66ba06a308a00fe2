// What was done to a host during a run.

/** A time in which a host was killed, stopped or paused; epoch milliseconds. */
export interface Disturbance {
  from: number
  to: number
  kind: DisturbanceKind
}

export enum DisturbanceKind {
  Killed = 'killed',
  /** Told to stop by SIGTERM. */
  Stopped = 'stopped',
  Paused = 'paused'
}
