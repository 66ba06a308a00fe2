// Decides whether the deaths of servers are explained by one request.
//
// Two different servers that died with a request in flight are enough to blame it, unless there is
// another explanation; then three are needed. Other explanations are:
// - a server died at about the same time without this request in flight, as in the failure of a rack;
// - another request was in flight on both servers as well.
// A request that succeeded shortly before is in common use and thus in flight on several servers at any
// time. For it, deaths that lie close together count as one.
import { keyDeath, SuspectStatus, type CrashSuspectsState, type Death, type Suspect } from './crashTypes.js'

const deathsNeeded = 2
const deathsNeededIfExplained = 3
/** Servers of a failing rack are noticed over this time. */
const relatedMilliseconds = 2_000

/** The deaths that count against a request. */
export function listOpenDeaths ({ deaths, clearedDeaths }: Suspect): Death[] {
  return [...deaths.values()].filter(death => !clearedDeaths.has(keyDeath(death)))
}

const areClose = (first: { at: number }, second: { at: number }): boolean => Math.abs(first.at - second.at) <= relatedMilliseconds

const countServers = (deaths: Death[]): number => new Set(deaths.map(({ server }) => server)).size

const countIncidents = (deaths: Death[]): number => {
  const times = deaths.map(({ at }) => at).sort((first, second) => first - second)
  return times.filter((at, index) => index === 0 || at - (times[index - 1] as number) > relatedMilliseconds).length
}

const hasUnrelatedDeath = (state: CrashSuspectsState, suspect: Suspect, open: Death[]): boolean =>
  [...state.serverDeaths.values()].some(death => open.some(own => areClose(own, death)) &&
    [...suspect.deaths.values()].every(({ server }) => server !== death.server))

const isAccompanied = (state: CrashSuspectsState, suspect: Suspect, open: Death[]): boolean =>
  [...state.suspects.values()].some(other => other !== suspect &&
    countServers(listOpenDeaths(other).filter(death => open.some(own => own.server === death.server))) >= deathsNeeded)

const isExplained = (state: CrashSuspectsState, suspect: Suspect, open: Death[]): boolean =>
  hasUnrelatedDeath(state, suspect, open) || isAccompanied(state, suspect, open)

const isBlamed = (state: CrashSuspectsState, suspect: Suspect, open: Death[]): boolean => {
  // Where a service has one server only, its third boot counts like a third server.
  const servers = open.length >= deathsNeededIfExplained ? open.length : countServers(open)
  if (servers < deathsNeeded) return false
  if (suspect.succeededBefore) return countIncidents(open) >= deathsNeeded
  return servers >= deathsNeededIfExplained || !isExplained(state, suspect, open)
}

/** Computes the status of a suspect from what is known. */
export function assessSuspect (state: CrashSuspectsState, suspect: Suspect): SuspectStatus {
  const open = listOpenDeaths(suspect)
  if (open.length === 0) return SuspectStatus.Cleared
  return isBlamed(state, suspect, open) ? SuspectStatus.Blamed : SuspectStatus.Suspected
}
