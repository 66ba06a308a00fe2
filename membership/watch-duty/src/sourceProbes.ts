// Finds the next source while the current one is silent. The hosts that could follow it are asked side by side, in groups that double, so that
// the time until one that answers is found grows with the logarithm of the number of silent hosts, and a single silent host costs
// two calls.
import type { KnownHost } from './sourceSelection.js'

export interface SourceProbes {
  /** When each host was asked, and whether it has answered, by name. */
  asked: Map<string, { at: number, hasAnswered: boolean }>
  groups: number
}

/** A source answers a long poll within 400 ms unless it is in trouble. */
export const silenceMilliseconds = 600
/** Interval of the groups. */
export const probeIntervalMilliseconds = 60
/** A host that has not answered after this time is passed over. It is used once it answers. */
export const probePatienceMilliseconds = 150
const firstGroup = 2

/** Creates the state for one silence of a source. */
export function createSourceProbes (): SourceProbes {
  return { asked: new Map(), groups: 0 }
}

/** Returns the hosts to ask now. `candidates` are in source order; the own host can be used at once, so that those after it are not asked. */
export function takeProbes (probes: SourceProbes, candidates: KnownHost[], own: string, now: number): KnownHost[] {
  const hosts = listAhead(probes, candidates, own).filter(({ name }) => !probes.asked.has(name)).slice(0, firstGroup * 2 ** probes.groups)
  probes.groups += 1
  hosts.forEach(({ name }) => probes.asked.set(name, { at: now, hasAnswered: false }))
  return hosts
}

export function recordProbeAnswer ({ asked }: SourceProbes, name: string): void {
  const probe = asked.get(name)
  if (probe !== undefined) probe.hasAnswered = true
}

/** Lists the hosts to be passed over before the first that can be used; undefined while one of them may still answer. */
export function listSilentHosts (probes: SourceProbes, candidates: KnownHost[], own: string, now: number): KnownHost[] | undefined {
  const ahead = listAhead(probes, candidates, own)
  return ahead.every(({ name }) => now - (probes.asked.get(name)?.at ?? Infinity) >= probePatienceMilliseconds) ? ahead : undefined
}

/** Lists the candidates before the first that can be used: the own host, or one that has answered. */
function listAhead ({ asked }: SourceProbes, candidates: KnownHost[], own: string): KnownHost[] {
  const usable = candidates.findIndex(({ name }) => name === own || asked.get(name)?.hasAnswered === true)
  return usable < 0 ? candidates : candidates.slice(0, usable)
}
