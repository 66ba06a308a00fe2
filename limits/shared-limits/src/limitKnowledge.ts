// What a host knows about the limits that servers have named, from its own observations and from those of other hosts. The
// latest observation of a server holds. A response without a limit counts as of the time at which its request was sent, so that a
// response which was created before the limit was named does not end it.

/** The state of a server's limit at a time. */
export interface LimitObservation {
  /** Identifies one start of a server, since a restarted server does not have the limit of its predecessor. */
  server: string
  /** Requests per second that the server takes from all hosts together; undefined if it names no limit. */
  requestsPerSecond: number | undefined
  /** Milliseconds of the monotonic clock. */
  at: number
}

/** How an observation changed the knowledge of a server. */
export enum LimitChange {
  /** The limit is as known before. */
  None = 'none',
  Named = 'named',
  Changed = 'changed',
  Ended = 'ended'
}

export interface LimitKnowledge {
  observations: Map<string, LimitObservation>
  /** Since when starts of servers have not been registered, in milliseconds of the monotonic clock, the longest first. */
  absentSince: Map<string, number>
}

/** Whether a start of a server is in the list of servers. */
export enum StartState {
  Registered = 'registered',
  /** Not listed. It may register again. */
  Absent = 'absent',
  /** A later start of the server is listed, so this one has ended. */
  Replaced = 'replaced'
}

/** A cut between a server and the store has no bound. After ten minutes, a server has to name its limit again. */
export const absentRetentionMilliseconds = 600_000
/** Bounds what other hosts can make this one keep. */
export const maximumAbsent = 1_024

/** Creates an empty state. */
export function createLimitKnowledge (): LimitKnowledge {
  return { observations: new Map(), absentSince: new Map() }
}

/** Applies an observation, and returns what it changed. An observation that is older than the known one has no effect. */
export function observeLimit (knowledge: LimitKnowledge, observation: LimitObservation): LimitChange {
  const { server, requestsPerSecond, at } = observation
  const known = knowledge.observations.get(server)
  if (known === undefined && requestsPerSecond === undefined) return LimitChange.None
  if (known !== undefined && at <= known.at) return LimitChange.None
  knowledge.observations.set(server, observation)
  if (known?.requestsPerSecond === requestsPerSecond) return LimitChange.None
  if (requestsPerSecond === undefined) return LimitChange.Ended
  return known?.requestsPerSecond === undefined ? LimitChange.Named : LimitChange.Changed
}

/** Returns the observation of a server that has a limit, or undefined. */
export function findLimit (knowledge: LimitKnowledge, server: string): LimitObservation & { requestsPerSecond: number } | undefined {
  const known = knowledge.observations.get(server)
  return known?.requestsPerSecond === undefined ? undefined : known as LimitObservation & { requestsPerSecond: number }
}

/** Forgets starts of servers that have been replaced, and those that have not been registered for long, or are too many. */
export function forgetEndedStarts (knowledge: LimitKnowledge, stateOf: (server: string) => StartState, now: number): void {
  const { observations, absentSince } = knowledge
  const states = [...observations.keys()].map(server => ({ server, state: stateOf(server) }))
  const forget = (server: string): void => {
    observations.delete(server)
    absentSince.delete(server)
  }
  states.forEach(({ server, state }) => stateHandlers[state](absentSince, server, now))
  states.filter(({ state }) => state === StartState.Replaced).forEach(({ server }) => forget(server))
  const absent = [...absentSince]
  absent.filter(([, since], index) => now - since > absentRetentionMilliseconds || index < absent.length - maximumAbsent).forEach(([server]) => forget(server))
}

const stateHandlers: Record<StartState, (absentSince: Map<string, number>, server: string, now: number) => void> = {
  [StartState.Registered]: (absentSince, server) => { absentSince.delete(server) },
  [StartState.Absent]: (absentSince, server, now) => { if (!absentSince.has(server)) absentSince.set(server, now) },
  [StartState.Replaced]: () => {}
}
