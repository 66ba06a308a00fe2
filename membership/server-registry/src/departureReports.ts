// What hosts tell each other of servers that have left or are leaving. A host that starts after the store was restored from an older copy
// has seen none of it, and would take the copy's entries of these servers for current.
import { isAnnounced, isLeftover, setNewest, startIgnored, type Departure } from './serverHistory.js'
import { ServerState, unlist, type RegistryState } from './serverRegistry.js'

/** A start of a server that has left. */
export interface ReportedDeparture extends Omit<Departure, 'at'> {
  id: string
  ageMilliseconds: number
  /** Version of the copy's entry that the sender ignores, in the history of the report; absent if there is none. */
  ignoredVersion?: number
}

/** A start of a server that leaves. */
export interface ReportedLeaving {
  id: string
  boot: number
  sequence: number
  ageMilliseconds: number
}

export interface DepartureReport {
  /** Number of the store's history that the sender has read. */
  era: number
  departures: ReportedDeparture[]
  leaving: ReportedLeaving[]
}

/**
 * A copy is at most as old as the history that the store keeps (20 s); its entries lapse after three heartbeats (4.5 s), or are back after
 * two seconds. The rest is for an outage before the copy takes the store's place.
 */
export const departureRetentionMilliseconds = 120_000
/** Bounds the size of a reply. */
export const maximumReported = 256
const maximumIdLength = 200

/** Describes the servers that have left recently and those that are leaving; undefined if there are none. */
export function describeDepartures ({ era, servers, history }: RegistryState, now: number): DepartureReport | undefined {
  const departures = [...history.departures]
    .filter(([, { at }]) => now - at <= departureRetentionMilliseconds)
    .slice(-maximumReported)
    .map(([id, { at, ...departure }]) => {
      const ignoredVersion = history.ignored.get(id)
      return { id, ...departure, ageMilliseconds: Math.round(now - at), ...(ignoredVersion === undefined ? {} : { ignoredVersion }) }
    })
  const announced = [...history.announced]
    .filter(([, { at }]) => now - at <= departureRetentionMilliseconds)
    .map(([id, { at, ...announcement }]) => ({ id, ...announcement, ageMilliseconds: Math.round(now - at) }))
  const listed = [...servers.values()]
    .filter(({ server }) => server.state === ServerState.Draining)
    .map(({ server: { id, boot, sequence } }) => ({ id, boot, sequence, ageMilliseconds: 0 }))
  const leaving = [...announced, ...listed].slice(-maximumReported)
  return departures.length + leaving.length === 0 ? undefined : { era, departures, leaving }
}

/** Applies a report of another host and returns the IDs of the listed servers that changed or were removed. */
export function applyDepartures (state: RegistryState, report: DepartureReport, now: number): string[] {
  // A host that has read no list takes over what the sender ignores, in case that it reads the same history.
  if (state.version === 0 && report.era > state.history.ignoredEra) startIgnored(state.history, report.era)
  const removed = report.departures.filter(departure => applyDeparture(state, departure, report.era, now))
  const drained = report.leaving.filter(leaving => applyLeaving(state, leaving, now))
  return [...removed, ...drained].map(({ id }) => id)
}

/** Whether a message is a report. */
export function isDepartureReport (report: unknown): report is DepartureReport {
  const { era, departures, leaving } = (report ?? {}) as Partial<DepartureReport>
  return isCount(era) && [departures, leaving].every(list => Array.isArray(list) && list.length <= maximumReported) &&
    (departures ?? []).every(isReportedDeparture) && (leaving ?? []).every(isReportedStart)
}

function applyDeparture (state: RegistryState, { id, ageMilliseconds, ignoredVersion, ...reported }: ReportedDeparture, reportEra: number, now: number): boolean {
  const { history } = state
  const known = history.departures.get(id)
  const listed = state.servers.get(id)
  if (known !== undefined && !isLater(reported, known)) return false
  // Within one history of the store, the versions of the entries tell whether the server has come back.
  const isDecidedByVersion = listed !== undefined && listed.version > 0 && reported.era >= state.era
  if (listed !== undefined && listed.server.boot <= reported.boot && (isDecidedByVersion || isLaterStart(listed.server, reported))) return false
  setNewest(history.departures, id, { ...reported, at: now - ageMilliseconds })
  if (ignoredVersion !== undefined && reportEra === history.ignoredEra) history.ignored.set(id, Math.max(ignoredVersion, history.ignored.get(id) ?? 0))
  const isReplaced = listed !== undefined && listed.server.boot > reported.boot
  if (listed !== undefined && !isReplaced && !isLeftover(history, { id, version: listed.version, server: listed.server }, state.era)) {
    history.departures.delete(id)
    return false
  }
  history.learntRevision += 1
  if (listed === undefined || isReplaced) return false
  state.heldRemovals.delete(id)
  unlist(state, id, listed.version)
  return true
}

function applyLeaving (state: RegistryState, { id, boot, sequence, ageMilliseconds }: ReportedLeaving, now: number): boolean {
  const listed = state.servers.get(id)
  const known = state.history.announced.get(id)
  if (known === undefined || isLaterStart({ boot, sequence }, known)) {
    setNewest(state.history.announced, id, { boot, sequence, at: now - ageMilliseconds })
    state.history.learntRevision += 1
  }
  if (listed === undefined || !isAnnounced(state.history, listed.server)) return false
  state.revision += 1
  const isSameStart = listed.server.boot === boot
  state.servers.set(id, { ...listed, server: { ...listed.server, sequence: isSameStart ? sequence : listed.server.sequence, state: ServerState.Draining }, revision: state.revision })
  return true
}

/** Whether a departure is of a later entry, or of the same one in an earlier history, which holds against more copies. */
function isLater (one: Omit<Departure, 'at'>, other: Departure): boolean {
  return isLaterStart(one, other) || (one.boot === other.boot && one.sequence === other.sequence && one.era < other.era)
}

function isLaterStart (one: { boot: number, sequence: number }, other: { boot: number, sequence: number }): boolean {
  return one.boot > other.boot || (one.boot === other.boot && one.sequence > other.sequence)
}

function isReportedDeparture (departure: unknown): boolean {
  const { era, version, wasDraining, ignoredVersion } = (departure ?? {}) as Partial<ReportedDeparture>
  return isReportedStart(departure) && [era, version, ignoredVersion ?? 0].every(isCount) && typeof wasDraining === 'boolean'
}

function isReportedStart (start: unknown): boolean {
  const { id, boot, sequence, ageMilliseconds } = (start ?? {}) as Partial<ReportedLeaving>
  return typeof id === 'string' && id.length <= maximumIdLength && [boot, sequence, ageMilliseconds].every(isCount)
}

function isCount (value: unknown): boolean {
  return Number.isSafeInteger(value) && Number(value) >= 0
}
