// Finds requests that crash the servers that run them. When a server dies, the requests in flight on it
// become suspects and the peers are told at once. assessSuspect.ts decides on the blame and
// decideSuspectSend.ts on how a suspect is sent. A success clears a request of the deaths known until
// then. A request without any death costs two map operations.
import { assessSuspect, listOpenDeaths } from './assessSuspect.js'
import {
  CrashCommandKind, CrashEventKind, keyDeath, SuspectStatus,
  type CrashCommand, type CrashEvent, type CrashReport, type CrashSuspectsState, type Death, type ServerDeath, type Suspect, type SuspectReport
} from './crashTypes.js'

const expiryMilliseconds = 600_000
const maximumSuspects = 1_000
/** Enough for the loss of a rack; beyond it, one unrelated death is certainly among the kept ones. */
const maximumServerDeaths = 256
const maximumSuccesses = 4_096
const recentSuccessMilliseconds = 10_000
const holdAnswersMilliseconds = 100
/** All entry hosts of today's users. */
const announcedPeers = 30
/** What a host hears for the first time it passes on, so that a lost announcement leaves no host uninformed. */
const relayedPeers = 3
/** A request that was in flight much longer than on a server that died was harmless there. */
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

const isKept = (now: number) => ({ at }: { at: number }): boolean => now - at < expiryMilliseconds

const limitSize = (map: Map<string, unknown>, maximum: number): void => {
  if (map.size > maximum) map.delete(map.keys().next().value as string)
}

const evictionOrder = [SuspectStatus.Cleared, SuspectStatus.Suspected, SuspectStatus.Blamed]

const makeRoom = ({ suspects }: CrashSuspectsState): void => {
  if (suspects.size < maximumSuspects) return
  const entries = [...suspects.values()]
  const evicted = evictionOrder.map(status => entries.find(entry => entry.status === status)).find(entry => entry !== undefined)
  if (evicted !== undefined) suspects.delete(evicted.fingerprint)
}

const findOrCreateSuspect = (state: CrashSuspectsState, fingerprint: string, now: number): Suspect => {
  const known = state.suspects.get(fingerprint)
  if (known !== undefined) return known
  makeRoom(state)
  const succeededBefore = now - (state.successes.get(fingerprint) ?? -Infinity) < recentSuccessMilliseconds
  const suspect: Suspect = { fingerprint, status: SuspectStatus.Suspected, deaths: new Map(), clearedDeaths: new Set(), succeededBefore }
  state.suspects.set(fingerprint, suspect)
  return suspect
}

const addServerDeath = (state: CrashSuspectsState, death: ServerDeath): void => {
  const key = keyDeath(death)
  if (state.serverDeaths.has(key)) return
  state.changes += 1
  state.serverDeaths.set(key, death)
  limitSize(state.serverDeaths, maximumServerDeaths)
}

const clearDeath = (state: CrashSuspectsState, suspect: Suspect, key: string): void => {
  if (suspect.clearedDeaths.has(key)) return
  state.changes += 1
  suspect.clearedDeaths.add(key)
}

const addDeath = (state: CrashSuspectsState, suspect: Suspect, death: Death): void => {
  const key = keyDeath(death)
  if (suspect.deaths.has(key)) return
  state.changes += 1
  const survived = (earlier: Death): boolean =>
    death.requestAgeMilliseconds > earlier.requestAgeMilliseconds * survivalFactor + survivalMarginMilliseconds
  listOpenDeaths(suspect).filter(survived).forEach(earlier => clearDeath(state, suspect, keyDeath(earlier)))
  suspect.deaths.set(key, death)
}

// A death changes the explanations of others that happened at the same time, so all are assessed again.
const assessAll = (state: CrashSuspectsState): CrashCommand[] => [...state.suspects.values()].flatMap((suspect): CrashCommand[] => {
  const status = assessSuspect(state, suspect)
  if (status === suspect.status) return []
  suspect.status = status
  const { fingerprint } = suspect
  if (status === SuspectStatus.Blamed) return [{ kind: CrashCommandKind.Blamed, fingerprint, servers: listOpenDeaths(suspect).map(({ server }) => server) }]
  return status === SuspectStatus.Cleared ? [{ kind: CrashCommandKind.Cleared, fingerprint }] : []
})

const reportSuspect = (suspect: Suspect, now: number): SuspectReport => ({
  fingerprint: suspect.fingerprint,
  deaths: [...suspect.deaths.values()].map(({ server, boot, at, requestAgeMilliseconds }) => ({ server, boot, agoMilliseconds: now - at, requestAgeMilliseconds })),
  clearedDeaths: [...suspect.clearedDeaths],
  succeededBefore: suspect.succeededBefore
})

const createReport = (state: CrashSuspectsState, suspects: Suspect[], now: number): CrashReport => ({
  suspects: suspects.map(suspect => reportSuspect(suspect, now)),
  serverDeaths: [...state.serverDeaths.values()].slice(-8).map(({ server, boot, at }) => ({ server, boot, agoMilliseconds: now - at }))
})

const takeDeath: Step<CrashEventKind.ServerDied> = ({ state, event: { server, boot, inFlight }, now }) => {
  const changesBefore = state.changes
  addServerDeath(state, { server, boot, at: now })
  const suspects = inFlight.map(({ fingerprint, ageMilliseconds }) => {
    const suspect = findOrCreateSuspect(state, fingerprint, now)
    addDeath(state, suspect, { server, boot, at: now, requestAgeMilliseconds: ageMilliseconds })
    return suspect
  })
  if (state.changes === changesBefore) return []
  const report = createReport(state, [...new Set(suspects)], now)
  return [...assessAll(state), { kind: CrashCommandKind.Announce, report, peers: announcedPeers, holdAnswersMilliseconds }]
}

const takeSuccess: Step<CrashEventKind.Finished> = ({ state, event: { fingerprint }, now }) => {
  // Removed first, so that the map is ordered by the latest success.
  state.successes.delete(fingerprint)
  state.successes.set(fingerprint, now)
  limitSize(state.successes, maximumSuccesses)
  const suspect = state.suspects.size === 0 ? undefined : state.suspects.get(fingerprint)
  if (suspect === undefined || suspect.status === SuspectStatus.Cleared) return []
  listOpenDeaths(suspect).forEach(death => clearDeath(state, suspect, keyDeath(death)))
  suspect.status = SuspectStatus.Cleared
  return [{ kind: CrashCommandKind.Cleared, fingerprint }]
}

const mergeSuspect = (state: CrashSuspectsState, report: SuspectReport, now: number): void => {
  const deaths = report.deaths.map(({ agoMilliseconds, ...death }) => ({ ...death, at: now - agoMilliseconds })).filter(isKept(now))
  if (deaths.length === 0) return
  const suspect = findOrCreateSuspect(state, report.fingerprint, now)
  if (report.succeededBefore && !suspect.succeededBefore) {
    suspect.succeededBefore = true
    state.changes += 1
  }
  report.clearedDeaths.forEach(key => clearDeath(state, suspect, key))
  deaths.forEach(death => addDeath(state, suspect, death))
}

const takeReport: Step<CrashEventKind.PeerReported> = ({ state, event: { report }, now }) => {
  const changesBefore = state.changes
  report.serverDeaths
    .map(({ server, boot, agoMilliseconds }) => ({ server, boot, at: now - agoMilliseconds }))
    .filter(isKept(now))
    .forEach(death => addServerDeath(state, death))
  report.suspects.forEach(suspect => mergeSuspect(state, suspect, now))
  if (state.changes === changesBefore) return []
  const suspects = report.suspects.flatMap(({ fingerprint }) => state.suspects.get(fingerprint) ?? [])
  return [...assessAll(state), { kind: CrashCommandKind.Announce, report: createReport(state, suspects, now), peers: relayedPeers, holdAnswersMilliseconds: 0 }]
}

const expire: Step<CrashEventKind.Ticked> = ({ state, now }) => {
  [...state.suspects.values()]
    .filter(({ deaths }) => ![...deaths.values()].some(isKept(now)))
    .forEach(({ fingerprint }) => state.suspects.delete(fingerprint))
  ;[...state.serverDeaths].filter(([, death]) => !isKept(now)(death)).forEach(([key]) => state.serverDeaths.delete(key))
  return []
}

const steps: { [Kind in CrashEventKind]: Step<Kind> } = {
  [CrashEventKind.ServerDied]: takeDeath,
  [CrashEventKind.Finished]: takeSuccess,
  [CrashEventKind.PeerReported]: takeReport,
  [CrashEventKind.Ticked]: expire
}

/** Advances the crash suspects by one event. */
export function stepCrashSuspects (options: StepCrashSuspectsOptions): CrashCommand[] {
  const step = steps[options.event.kind] as Step<CrashEventKind>
  return step(options as Parameters<typeof step>[0])
}

export interface ReportCrashSuspectsOptions {
  state: CrashSuspectsState
  now: number
  random: () => number
  maximumSuspects: number
}

/** Gives the suspects for a heartbeat: a random run of at most `maximumSuspects`, so that all are told in time at a constant cost. */
export function reportCrashSuspects ({ state, now, random, maximumSuspects }: ReportCrashSuspectsOptions): CrashReport {
  const suspects = [...state.suspects.values()]
  const start = Math.floor(random() * suspects.length)
  return createReport(state, [...suspects.slice(start), ...suspects.slice(0, start)].slice(0, maximumSuspects), now)
}
