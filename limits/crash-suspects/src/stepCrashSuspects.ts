// Detects requests that crash the servers that execute them. When a server dies, the requests in flight on it
// become suspects and are announced to the peers at once. assessSuspect.ts decides whether a suspect is blamed,
// and decideSuspectSend.ts how it is sent. A success clears a suspect of the deaths known until then. Without
// any death, a request costs two map operations.
import { assessSuspect, listUnclearedDeaths } from './assessSuspect.js'
import {
  CrashCommandKind, CrashEventKind, createDeathKey, SuspectStatus,
  type CrashCommand, type CrashEvent, type CrashReport, type CrashSuspectsState, type SuspectDeath, type ServerDeath, type Suspect, type SuspectReport
} from './crashTypes.js'

/** A suspect is forgotten this long after its last death. */
export const expiryMilliseconds = 600_000
const maximumSuspects = 1_000
/** Sufficient for a rack failure. If there are more deaths, the retained ones certainly include an unrelated death. */
const maximumServerDeaths = 256
const maximumSuccesses = 4_096
const recentSuccessMilliseconds = 10_000
const responseHoldMilliseconds = 100
/** Covers all entry hosts of the present deployments. */
const announcementFanOut = 30
/** Hosts relay new information to this many peers, so that it reaches every host even if announcements are lost. */
const relayFanOut = 3
/**
 * A death is cleared if the request later was in flight for more than this multiple of its age at that death
 * plus the margin, since it then evidently did not cause the earlier death.
 */
const survivalFactor = 2
const survivalMarginMilliseconds = 1_000

/** Creates an empty state. */
export function createCrashSuspectsState (): CrashSuspectsState {
  return { suspects: new Map(), serverDeaths: new Map(), successes: new Map(), changes: 0 }
}

export interface StepCrashSuspectsOptions {
  state: CrashSuspectsState
  event: CrashEvent
  now: number
}

type Step<Kind extends CrashEventKind> = (options: StepCrashSuspectsOptions & { event: Extract<CrashEvent, { kind: Kind }> }) => CrashCommand[]

const isUnexpired = (now: number) => ({ at }: { at: number }): boolean => now - at < expiryMilliseconds

const evictOldest = (map: Map<string, unknown>, maximum: number): void => {
  if (map.size > maximum) map.delete(map.keys().next().value as string)
}

const evictionOrder = [SuspectStatus.Cleared, SuspectStatus.Suspected, SuspectStatus.Blamed]

const evictSuspect = ({ suspects }: CrashSuspectsState): void => {
  if (suspects.size < maximumSuspects) return
  const entries = [...suspects.values()]
  const candidate = evictionOrder.map(status => entries.find(entry => entry.status === status)).find(entry => entry !== undefined)
  if (candidate !== undefined) suspects.delete(candidate.fingerprint)
}

const findOrCreateSuspect = (state: CrashSuspectsState, fingerprint: string, now: number): Suspect => {
  const known = state.suspects.get(fingerprint)
  if (known !== undefined) return known
  evictSuspect(state)
  const succeededBefore = now - (state.successes.get(fingerprint) ?? -Infinity) < recentSuccessMilliseconds
  const suspect: Suspect = { fingerprint, status: SuspectStatus.Suspected, deaths: new Map(), clearedDeaths: new Set(), succeededBefore }
  state.suspects.set(fingerprint, suspect)
  return suspect
}

const addServerDeath = (state: CrashSuspectsState, death: ServerDeath): void => {
  const key = createDeathKey(death)
  if (state.serverDeaths.has(key)) return
  state.changes += 1
  state.serverDeaths.set(key, death)
  evictOldest(state.serverDeaths, maximumServerDeaths)
}

const clearDeath = (state: CrashSuspectsState, suspect: Suspect, key: string): void => {
  if (suspect.clearedDeaths.has(key)) return
  state.changes += 1
  suspect.clearedDeaths.add(key)
}

const addDeath = (state: CrashSuspectsState, suspect: Suspect, death: SuspectDeath): void => {
  const key = createDeathKey(death)
  if (suspect.deaths.has(key)) return
  state.changes += 1
  const survived = (earlier: SuspectDeath): boolean =>
    death.requestAgeMilliseconds > earlier.requestAgeMilliseconds * survivalFactor + survivalMarginMilliseconds
  listUnclearedDeaths(suspect).filter(survived).forEach(earlier => clearDeath(state, suspect, createDeathKey(earlier)))
  suspect.deaths.set(key, death)
}

// A death can be an alternative explanation of others at about the same time, so all suspects are reassessed.
const reassessSuspects = (state: CrashSuspectsState): CrashCommand[] => [...state.suspects.values()].flatMap((suspect): CrashCommand[] => {
  const status = assessSuspect(state, suspect)
  if (status === suspect.status) return []
  suspect.status = status
  const { fingerprint } = suspect
  if (status === SuspectStatus.Blamed) return [{ kind: CrashCommandKind.Blamed, fingerprint, servers: listUnclearedDeaths(suspect).map(({ server }) => server) }]
  return status === SuspectStatus.Cleared ? [{ kind: CrashCommandKind.Cleared, fingerprint }] : []
})

const createSuspectReport = (suspect: Suspect, now: number): SuspectReport => ({
  fingerprint: suspect.fingerprint,
  deaths: [...suspect.deaths.values()].map(({ server, boot, at, requestAgeMilliseconds }) => ({ server, boot, agoMilliseconds: now - at, requestAgeMilliseconds })),
  clearedDeaths: [...suspect.clearedDeaths],
  succeededBefore: suspect.succeededBefore
})

const createReport = (state: CrashSuspectsState, suspects: Suspect[], now: number): CrashReport => ({
  suspects: suspects.map(suspect => createSuspectReport(suspect, now)),
  serverDeaths: [...state.serverDeaths.values()].slice(-8).map(({ server, boot, at }) => ({ server, boot, agoMilliseconds: now - at }))
})

const handleServerDeath: Step<CrashEventKind.ServerDied> = ({ state, event: { server, boot, inFlight }, now }) => {
  const changesBefore = state.changes
  addServerDeath(state, { server, boot, at: now })
  const suspects = inFlight.map(({ fingerprint, ageMilliseconds }) => {
    const suspect = findOrCreateSuspect(state, fingerprint, now)
    addDeath(state, suspect, { server, boot, at: now, requestAgeMilliseconds: ageMilliseconds })
    return suspect
  })
  if (state.changes === changesBefore) return []
  const report = createReport(state, [...new Set(suspects)], now)
  return [...reassessSuspects(state), { kind: CrashCommandKind.Announce, report, peers: announcementFanOut, holdResponsesMilliseconds: responseHoldMilliseconds }]
}

const handleSuccess: Step<CrashEventKind.Finished> = ({ state, event: { fingerprint }, now }) => {
  // Deleted before it is set, so that the map stays ordered by the time of the latest success.
  state.successes.delete(fingerprint)
  state.successes.set(fingerprint, now)
  evictOldest(state.successes, maximumSuccesses)
  const suspect = state.suspects.size === 0 ? undefined : state.suspects.get(fingerprint)
  if (suspect === undefined || suspect.status === SuspectStatus.Cleared) return []
  listUnclearedDeaths(suspect).forEach(death => clearDeath(state, suspect, createDeathKey(death)))
  suspect.status = SuspectStatus.Cleared
  return [{ kind: CrashCommandKind.Cleared, fingerprint }]
}

const mergeSuspect = (state: CrashSuspectsState, report: SuspectReport, now: number): void => {
  const deaths = report.deaths.map(({ agoMilliseconds, ...death }) => ({ ...death, at: now - agoMilliseconds })).filter(isUnexpired(now))
  if (deaths.length === 0) return
  const suspect = findOrCreateSuspect(state, report.fingerprint, now)
  if (report.succeededBefore && !suspect.succeededBefore) {
    suspect.succeededBefore = true
    state.changes += 1
  }
  report.clearedDeaths.forEach(key => clearDeath(state, suspect, key))
  deaths.forEach(death => addDeath(state, suspect, death))
}

const handlePeerReport: Step<CrashEventKind.PeerReported> = ({ state, event: { report }, now }) => {
  const changesBefore = state.changes
  report.serverDeaths
    .map(({ server, boot, agoMilliseconds }) => ({ server, boot, at: now - agoMilliseconds }))
    .filter(isUnexpired(now))
    .forEach(death => addServerDeath(state, death))
  report.suspects.forEach(suspect => mergeSuspect(state, suspect, now))
  if (state.changes === changesBefore) return []
  const suspects = report.suspects.flatMap(({ fingerprint }) => state.suspects.get(fingerprint) ?? [])
  return [...reassessSuspects(state), { kind: CrashCommandKind.Announce, report: createReport(state, suspects, now), peers: relayFanOut, holdResponsesMilliseconds: 0 }]
}

const removeExpired: Step<CrashEventKind.Ticked> = ({ state, now }) => {
  [...state.suspects.values()]
    .filter(({ deaths }) => ![...deaths.values()].some(isUnexpired(now)))
    .forEach(({ fingerprint }) => state.suspects.delete(fingerprint))
  ;[...state.serverDeaths].filter(([, death]) => !isUnexpired(now)(death)).forEach(([key]) => state.serverDeaths.delete(key))
  return []
}

const steps: { [Kind in CrashEventKind]: Step<Kind> } = {
  [CrashEventKind.ServerDied]: handleServerDeath,
  [CrashEventKind.Finished]: handleSuccess,
  [CrashEventKind.PeerReported]: handlePeerReport,
  [CrashEventKind.Ticked]: removeExpired
}

/** Processes one event and returns the commands to execute. */
export function stepCrashSuspects (options: StepCrashSuspectsOptions): CrashCommand[] {
  const step = steps[options.event.kind] as Step<CrashEventKind>
  return step(options as Parameters<typeof step>[0])
}

/** Describes the suspects with the given fingerprints for another host. */
export function reportSuspects (state: CrashSuspectsState, fingerprints: Iterable<string>, now: number): SuspectReport[] {
  return [...fingerprints].flatMap(fingerprint => state.suspects.get(fingerprint) ?? []).map(suspect => createSuspectReport(suspect, now))
}

export interface ReportCrashSuspectsOptions {
  state: CrashSuspectsState
  now: number
  random: () => number
  maximumSuspects: number
}

/**
 * Creates the report of a heartbeat: at most `maximumSuspects` consecutive suspects from a random start, so that
 * all are eventually reported while the size of a heartbeat stays bounded.
 */
export function reportCrashSuspects ({ state, now, random, maximumSuspects }: ReportCrashSuspectsOptions): CrashReport {
  const suspects = [...state.suspects.values()]
  const start = Math.floor(random() * suspects.length)
  return createReport(state, [...suspects.slice(start), ...suspects.slice(0, start)].slice(0, maximumSuspects), now)
}
