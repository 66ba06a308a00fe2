// Disturbances of hosts that faults caused during a run.

/** A period in which a host was killed, stopped or paused; epoch milliseconds. */
export interface Disturbance {
  from: number
  to: number
  kind: DisturbanceKind
}

export enum DisturbanceKind {
  Killed = 'killed',
  /** Asked to shut down gracefully by SIGTERM. */
  Stopped = 'stopped',
  Paused = 'paused'
}
