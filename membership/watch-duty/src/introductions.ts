// Hosts that introduced themselves, by data centre. Seeds keep this list, so that hosts which start find
// each other without a call to the store.
import { listFirstHosts, type KnownHost } from './watchDuty.js'

export interface IntroductionState {
  byDataCentre: Map<string, Map<string, { host: KnownHost, at: number }>>
}

/** Watching hosts introduce themselves again every few seconds; others need not be listed for long. */
const forgetMilliseconds = 30_000
const keptForDataCentre = 32

/** Starts without a host. */
export function createIntroductions (): IntroductionState {
  return { byDataCentre: new Map() }
}

/** Takes note of a host. Of many, those that come first in the order of sources are kept. */
export function noteIntroduction (state: IntroductionState, dataCentre: string, host: KnownHost, now: number): void {
  const hosts = state.byDataCentre.get(dataCentre) ?? new Map<string, { host: KnownHost, at: number }>()
  state.byDataCentre.set(dataCentre, hosts)
  hosts.set(host.name, { host, at: now })
  if (hosts.size <= keptForDataCentre) return
  const last = listFirstHosts([...hosts.values()].map(entry => entry.host), hosts.size).at(-1)
  if (last !== undefined) hosts.delete(last.name)
}

/** The first hosts of a data centre that introduced themselves not long ago. */
export function listIntroduced (state: IntroductionState, dataCentre: string, count: number, now: number): KnownHost[] {
  const recent = [...state.byDataCentre.get(dataCentre)?.values() ?? []].filter(({ at }) => now - at < forgetMilliseconds)
  return listFirstHosts(recent.map(({ host }) => host), count)
}
