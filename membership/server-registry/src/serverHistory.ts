// What is known of servers from earlier histories of the store. A copy that takes the store's place may show a server that has left, or
// one that is leaving as ready. The start of a server and the sequence of its entries tell which of two entries is newer, whatever
// the version numbers of the store say.

/** What tells entries of one server apart. */
export interface ServerEntry {
  id: string
  /** Start time; a later start is newer. */
  boot: number
  /** Increases with each entry of one start. */
  sequence: number
  state: string
}

/** When a server left. */
export interface DepartureMoment {
  /** Number of the store's history in which the server left. */
  era: number
  /** Version of the store at which the list no longer had the server; 0 if another host has reported the departure. */
  version: number
  /** In milliseconds of the monotonic clock. */
  at: number
}

/** The latest entry of a server that has left. */
export interface Departure extends DepartureMoment {
  boot: number
  sequence: number
  wasDraining: boolean
}

/** A start of a server that leaves, and the sequence of the entry that said so. */
export interface Announcement {
  boot: number
  sequence: number
  /** When a host last listed it, in milliseconds of the monotonic clock. */
  at: number
}

export interface ServerHistory {
  /** By server ID, the oldest first. */
  departures: Map<string, Departure>
  /** Versions of entries that show a server as it was before it left, by server ID. */
  ignored: Map<string, number>
  /** Number of the store's history to which these versions belong. */
  ignoredEra: number
  /** Starts that leave as other hosts have said, by server ID, the oldest first. */
  announced: Map<string, Announcement>
  /** Increases when another host has told of departures that were not known here. */
  learntRevision: number
}

const maximumDepartures = 1_000
const draining = 'draining'

/** Creates an empty history. */
export function createServerHistory (): ServerHistory {
  return { departures: new Map(), ignored: new Map(), ignoredEra: 0, announced: new Map(), learntRevision: 1 }
}

/** Records that a server has left the list. */
export function recordDeparture ({ departures }: ServerHistory, { id, boot, sequence, state }: ServerEntry, moment: DepartureMoment): void {
  setNewest(departures, id, { ...moment, boot, sequence, wasDraining: state === draining })
}

/** Records that an entry is listed. The start that it replaces has left, and one that had left is back. */
export function recordArrival (history: ServerHistory, { id, boot }: ServerEntry, replaced: ServerEntry | undefined, moment: DepartureMoment): void {
  if ((history.departures.get(id)?.boot ?? -Infinity) >= boot) history.departures.delete(id)
  if (replaced !== undefined && replaced.boot < boot) recordDeparture(history, replaced, moment)
}

/** Sets an entry as the newest one, and drops the oldest one if there are too many. */
export function setNewest<Value> (entries: Map<string, Value>, id: string, value: Value): void {
  entries.delete(id)
  entries.set(id, value)
  if (entries.size > maximumDepartures) entries.delete(entries.keys().next().value as string)
}

/** Whether an entry shows a start as ready that is known to leave, or an earlier one. */
export function isAnnounced ({ announced }: ServerHistory, { id, boot, sequence, state }: ServerEntry): boolean {
  const announcement = announced.size === 0 ? undefined : announced.get(id)
  if (announcement === undefined || state === draining) return false
  return boot < announcement.boot || (boot === announcement.boot && sequence <= announcement.sequence)
}

/** Forgets the versions of entries of another history of the store than this one. */
export function startIgnored (history: ServerHistory, era: number): void {
  if (history.ignoredEra === era) return
  history.ignoredEra = era
  history.ignored.clear()
}

/** Whether an entry is older than the known one of the same server, which dates from an earlier history of the store. */
export function isOlderEntry (entry: ServerEntry, known: ServerEntry): boolean {
  if (entry.boot !== known.boot) return entry.boot < known.boot
  const isSameEntry = entry.sequence === known.sequence
  return entry.sequence < known.sequence || (isSameEntry && known.state === draining && entry.state !== draining)
}

/** Whether an entry was written before the server left, as one that another host still holds. */
export function isFromBeforeDeparture ({ departures }: ServerHistory, { id, version }: { id: string, version: number }, era: number): boolean {
  const departure = departures.get(id)
  return departure !== undefined && departure.era === era && version > 0 && version <= departure.version
}

/** Whether an entry shows a server that is not listed as it was before it left. Such an entry is remembered by its version. */
export function isLeftover ({ departures, ignored }: ServerHistory, { id, version, server }: { id: string, version: number, server: ServerEntry | undefined }, era: number): boolean {
  const departure = departures.get(id)
  // Another host may hold the removal of an entry that it knows from an earlier history, which has no version in this one.
  const isCurrent = departure?.era === era && version > 0
  if (server === undefined || departure === undefined || isCurrent || server.boot > departure.boot) return false
  const ignoredVersion = ignored.get(id)
  // An entry that was written after the one of the copy is new, unless the start had announced to leave.
  const isRewritten = ignoredVersion !== undefined && version > ignoredVersion && !departure.wasDraining
  if (server.boot === departure.boot && (server.sequence > departure.sequence || isRewritten)) return false
  if (version > 0) ignored.set(id, Math.max(version, ignoredVersion ?? 0))
  return true
}
