// The faults that a run can inject.

export enum FaultName {
  None = 'none',
  /** Some servers of each service are slow. */
  Straggler = 'straggler',
  /** A server is killed and restarted. */
  Crash = 'crash',
  /** A request crashes each server that runs it. */
  CrashingRequest = 'crashing-request',
  /** A server leaves, drains and restarts. */
  Drain = 'drain',
  /** Some servers stop responding on their open connections. */
  Unresponsive = 'silent',
  /** One entry host and one server are suspended by SIGSTOP. */
  Freeze = 'freeze',
  /** A data centre is unreachable. */
  Partition = 'cut',
  /** The table service and the object store are unavailable. */
  StoreOutage = 'store-outage',
  /** The table service loses replies and delays writes. */
  LostReply = 'lost-reply',
  /** The load rises above the capacity. */
  Overload = 'overload',
  /** Random faults, drawn from the seed, which may overlap. */
  All = 'all'
}
