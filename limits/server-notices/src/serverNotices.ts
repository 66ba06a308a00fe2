// Notices that servers give in their responses. A notice belongs to one start of a server and binds the host that received it. That a server
// leaves holds until another start takes its place, whatever the list of servers says; a pause ends by itself.

export interface ServerNotices {
  /** Starts of servers that have said that they leave, the oldest first. */
  leaving: Set<string>
  /** By start of a server: when its pause ends, in milliseconds of the monotonic clock. */
  pauses: Map<string, number>
}

export interface RecordPauseOptions {
  /** Identifies one start of the server. */
  server: string
  /** How long the server wants no requests from this host. */
  milliseconds: number
  now: number
  random: () => number
}

/** The longest pause that is kept. A server that wants none for longer says so again. */
export const maximumPauseMilliseconds = 86_400_000
/** Hosts return spread over this share of the pause, so that they don't all return at its end. */
const spreadRatio = 0.1
const maximumSpreadMilliseconds = 1_000
const maximumLeaving = 4_096

/** Creates notices of no server. */
export function createServerNotices (): ServerNotices {
  return { leaving: new Set(), pauses: new Map() }
}

/** Records that a server leaves. Returns whether that is new. */
export function recordLeaving ({ leaving }: ServerNotices, server: string): boolean {
  if (leaving.has(server)) return false
  leaving.add(server)
  if (leaving.size > maximumLeaving) leaving.delete(leaving.values().next().value as string)
  return true
}

/** Records that a server wants a pause. Of several, the one that ends last holds: the answers to requests that were sent together may differ. */
export function recordPause ({ pauses }: ServerNotices, { server, milliseconds, now, random }: RecordPauseOptions): void {
  const wanted = Math.min(milliseconds, maximumPauseMilliseconds)
  const endsAt = now + wanted + random() * Math.min(maximumSpreadMilliseconds, wanted * spreadRatio)
  pauses.set(server, Math.max(endsAt, pauses.get(server) ?? 0))
  pauses.forEach((end, other) => { if (end <= now) pauses.delete(other) })
}

/** Whether a server has said that it leaves. */
export function isLeaving ({ leaving }: ServerNotices, server: string): boolean {
  return leaving.size > 0 && leaving.has(server)
}

/** Returns when the pause of a server ends; undefined if there is none. */
export function findPauseEnd ({ pauses }: ServerNotices, server: string, now: number): number | undefined {
  const endsAt = pauses.size === 0 ? undefined : pauses.get(server)
  return endsAt !== undefined && endsAt > now ? endsAt : undefined
}

/** Whether a server may be contacted, for requests as well as for health checks. */
export function isServerAvailable (notices: ServerNotices, server: string, now: number): boolean {
  return !isLeaving(notices, server) && findPauseEnd(notices, server, now) === undefined
}
