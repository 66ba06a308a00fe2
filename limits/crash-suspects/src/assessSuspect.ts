// Decides whether a request is blamed for the deaths of servers.
//
// A request is blamed if two different servers died while it was in flight on them. Three are required if
// there is an alternative explanation:
// - a server died at about the same time without this request in flight, as in a rack failure;
// - another request was in flight on both servers as well.
// A request that succeeded shortly before is frequent and therefore in flight on several servers at any time.
// For such a request, deaths within a short time count as one incident, and two incidents are required. If deaths go on without a pause, three
// servers have to die one after the other, each during a copy that was sent after the death before, over more than the time of one incident.
import { createDeathKey, SuspectStatus, type CrashSuspectsState, type SuspectDeath, type Suspect } from './crashTypes.js'

const requiredDeaths = 2
const requiredDeathsIfExplained = 3
/** The deaths of the servers of a failing rack are detected within this time. */
const incidentMilliseconds = 2_000

/** Lists the deaths that the request may have caused. */
export function listUnclearedDeaths ({ deaths, clearedDeaths }: Suspect): SuspectDeath[] {
  return [...deaths.values()].filter(death => !clearedDeaths.has(createDeathKey(death)))
}

const areSimultaneous = (first: { at: number }, second: { at: number }): boolean => Math.abs(first.at - second.at) <= incidentMilliseconds

const countServers = (deaths: SuspectDeath[]): number => new Set(deaths.map(({ server }) => server)).size

const countIncidents = (deaths: SuspectDeath[]): number => {
  const times = deaths.map(({ at }) => at).sort((first, second) => first - second)
  return times.filter((at, index) => index === 0 || at - (times[index - 1] as number) > incidentMilliseconds).length
}

/** Counts the deaths that follow one another: each copy was sent after the preceding death, so one failure of several servers counts once. */
const countSequentialDeaths = (deaths: SuspectDeath[]): number => [...deaths]
  .sort((first, second) => first.at - second.at)
  .reduce(({ count, lastAt }, { at, requestAgeMilliseconds }) => at - requestAgeMilliseconds >= lastAt ? { count: count + 1, lastAt: at } : { count, lastAt }, { count: 0, lastAt: -Infinity })
  .count

const outlastsIncident = (deaths: SuspectDeath[]): boolean => Math.max(...deaths.map(({ at }) => at)) - Math.min(...deaths.map(({ at }) => at)) > incidentMilliseconds

const hasUnrelatedDeath = (state: CrashSuspectsState, suspect: Suspect, uncleared: SuspectDeath[]): boolean =>
  [...state.serverDeaths.values()].some(death => uncleared.some(own => areSimultaneous(own, death)) &&
    [...suspect.deaths.values()].every(({ server }) => server !== death.server))

const hasCommonDeaths = (state: CrashSuspectsState, suspect: Suspect, uncleared: SuspectDeath[]): boolean =>
  [...state.suspects.values()].some(other => other !== suspect &&
    countServers(listUnclearedDeaths(other).filter(death => uncleared.some(own => own.server === death.server))) >= requiredDeaths)

const hasAlternativeExplanation = (state: CrashSuspectsState, suspect: Suspect, uncleared: SuspectDeath[]): boolean =>
  hasUnrelatedDeath(state, suspect, uncleared) || hasCommonDeaths(state, suspect, uncleared)

const isBlamed = (state: CrashSuspectsState, suspect: Suspect, uncleared: SuspectDeath[]): boolean => {
  // If a service has only one server, a third death of it counts like the death of a third server.
  const serverCount = uncleared.length >= requiredDeathsIfExplained ? uncleared.length : countServers(uncleared)
  if (serverCount < requiredDeaths) return false
  if (suspect.succeededBefore) return countIncidents(uncleared) >= requiredDeaths || (outlastsIncident(uncleared) && countSequentialDeaths(uncleared) >= requiredDeathsIfExplained)
  return serverCount >= requiredDeathsIfExplained || !hasAlternativeExplanation(state, suspect, uncleared)
}

/** Computes the status of a suspect from the known deaths. */
export function assessSuspect (state: CrashSuspectsState, suspect: Suspect): SuspectStatus {
  const uncleared = listUnclearedDeaths(suspect)
  if (uncleared.length === 0) return SuspectStatus.Cleared
  return isBlamed(state, suspect, uncleared) ? SuspectStatus.Blamed : SuspectStatus.Suspected
}
