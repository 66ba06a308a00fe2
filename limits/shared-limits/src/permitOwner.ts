// Determines which host hands out the permits of the limited servers of a service, so that the hosts of a data centre keep the limits
// together. Rendezvous hashing gives each service one owner, as long as the hosts agree on who is alive. A host becomes the owner only
// after it has been the owner in each of its views for a while, so that the previous owner has stopped by then. If hosts cannot reach
// each other, each part of them uses the fraction of the limits that corresponds to its size.
import { hashText } from '@siskinbeam/random/hashText'

/** The sets of live hosts that this host has seen recently, the current one last. */
export interface HostHistory {
  /** When the first view was recorded; Infinity before. */
  startedAt: number
  views: HostView[]
  /** Numbers of hosts in the past, the highest one first, without those that a later one has exceeded. */
  peaks: Array<{ hosts: number, until: number }>
}

interface HostView {
  hosts: string[]
  since: number
}

/** Longer than the time within which all hosts of a data centre learn that a host has left, expired or joined. */
export const settlingMilliseconds = 2_000
/** A host that has just started may see only itself for longer than a change takes to reach all hosts. */
export const startSettlingMilliseconds = 4_000
/** For this long, hosts that are missing are taken for cut off rather than stopped. */
export const peakMilliseconds = 15_000

/** Creates a history without views. A host without a view owns nothing. */
export function createHostHistory (): HostHistory {
  return { startedAt: Infinity, views: [], peaks: [] }
}

/** Records the current hosts. Must be called at each change. */
export function recordHosts (history: HostHistory, hosts: string[], now: number): void {
  history.startedAt = Math.min(history.startedAt, now)
  const current = history.views.at(-1)
  if (current === undefined || !isSameSet(current.hosts, hosts)) history.views.push({ hosts: [...hosts].sort(), since: now })
  // A view was valid until the next one began.
  while (history.views.length > 1 && (history.views[1]?.since ?? now) <= now - settlingMilliseconds) history.views.shift()
  history.peaks = [...history.peaks.filter(peak => peak.until > now && peak.hosts > hosts.length), { hosts: hosts.length, until: now + peakMilliseconds }]
}

/** Returns the fraction of the hosts that were alive recently which this host still sees, from 0 to 1. */
export function computeVisibleRatio ({ views, peaks }: HostHistory, now: number): number {
  const current = views.at(-1)?.hosts.length ?? 0
  const peak = peaks.find(({ until }) => until > now)?.hosts ?? current
  return peak === 0 ? 0 : Math.min(1, current / peak)
}

/** Returns the owner of a service's permits by the current view. */
export function findOwner (history: HostHistory, service: string): string | undefined {
  return chooseOwner(history.views.at(-1)?.hosts ?? [], service)
}

/** Whether a host has been the owner in all recent views, for long enough to hand out permits. */
export function isSettledOwner (history: HostHistory, service: string, host: string, now: number): boolean {
  const [earliest] = history.views
  if (now < history.startedAt + startSettlingMilliseconds) return false
  return earliest !== undefined && earliest.since <= now - settlingMilliseconds && history.views.every(({ hosts }) => chooseOwner(hosts, service) === host)
}

function chooseOwner (hosts: string[], service: string): string | undefined {
  const seed = hashText(service, 0)
  return hosts.reduce<{ host: string, score: number } | undefined>((best, host) => {
    const score = hashText(host, seed)
    return best === undefined || score > best.score || (score === best.score && host < best.host) ? { host, score } : best
  }, undefined)?.host
}

function isSameSet (sorted: string[], hosts: string[]): boolean {
  return sorted === hosts || (sorted.length === hosts.length && [...hosts].sort().every((host, index) => host === sorted[index]))
}
