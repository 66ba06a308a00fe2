// The faults that a run can inject.

export enum FaultName {
  None = 'none',
  Straggler = 'straggler',
  Crash = 'crash',
  CrashingRequest = 'crashing-request',
  Drain = 'drain',
  Silent = 'silent',
  Freeze = 'freeze',
  Cut = 'cut',
  StoreOutage = 'store-outage',
  LostReply = 'lost-reply',
  Overload = 'overload',
  /** At random from the seed, also two at once. */
  All = 'all'
}
