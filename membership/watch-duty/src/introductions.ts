// Hosts that introduced themselves, by data centre. Seeds maintain this list, so that starting hosts can
// discover each other without a call to the store.
import { listFirstHosts, type KnownHost } from './sourceSelection.js'

export interface IntroductionState {
  byDataCentre: Map<string, Map<string, { host: KnownHost, at: number }>>
}

/** Hosts that watch the store introduce themselves again every few seconds; other hosts may expire soon. */
const introductionLifetimeMilliseconds = 30_000
const maximumHostsPerDataCentre = 32

/** Creates an empty list of introductions. */
export function createIntroductions (): IntroductionState {
  return { byDataCentre: new Map() }
}

/** Adds or updates a host. If the list of its data centre is full, the last host in source order is removed. */
export function recordIntroduction (state: IntroductionState, dataCentre: string, host: KnownHost, now: number): void {
  const hosts = state.byDataCentre.get(dataCentre) ?? new Map<string, { host: KnownHost, at: number }>()
  state.byDataCentre.set(dataCentre, hosts)
  hosts.set(host.name, { host, at: now })
  if (hosts.size <= maximumHostsPerDataCentre) return
  const last = listFirstHosts([...hosts.values()].map(entry => entry.host), hosts.size).at(-1)
  if (last !== undefined) hosts.delete(last.name)
}

/** Lists the first hosts of a data centre, in source order, among those that introduced themselves recently. */
export function listIntroduced (state: IntroductionState, dataCentre: string, count: number, now: number): KnownHost[] {
  const recent = [...state.byDataCentre.get(dataCentre)?.values() ?? []].filter(({ at }) => now - at < introductionLifetimeMilliseconds)
  return listFirstHosts(recent.map(({ host }) => host), count)
}
