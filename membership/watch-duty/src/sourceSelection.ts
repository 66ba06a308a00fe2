// Selects the entry host of a data centre that watches the store on behalf of the others. There is no leader
// election: every host sorts the hosts that it knows in the same order and follows the first healthy one. If
// two hosts watch the store, the only cost is additional calls to the store, so hosts need not agree. A host
// that has followers watches the store, whatever its own view is.

/** An entry host of this host's data centre. */
export interface KnownHost {
  name: string
  peerAddress: string
  guestAddress: string
  /** Processor share as a fraction of a core; hosts with a larger share come first. */
  processorShare: number
}

/** Reason why a host is temporarily not followed. */
export enum SourceFailure {
  /** It did not answer. */
  Unresponsive = 'silent',
  /** It answered, but its own calls to the store fail or its view is out of date. */
  OutOfDate = 'out-of-date'
}

interface SourceBackoff {
  since: number
  until: number
  /** Consecutive calls that it did not answer. */
  consecutiveTimeouts: number
}

export interface SourceSelectionState {
  own: KnownHost
  hosts: Map<string, KnownHost>
  /** Backoff of hosts that failed as a source, by name. */
  backoffs: Map<string, SourceBackoff>
}

/** A restarting host is up again within this time. */
const initialBackoffMilliseconds = 3_000
/** Hosts that do not answer are called with increasing backoff, because each attempt delays the caller. */
const maximumBackoffMilliseconds = 24_000

/** Creates a state in which only the own host is known. */
export function createSourceSelection (own: KnownHost): SourceSelectionState {
  return { own, hosts: new Map([[own.name, own]]), backoffs: new Map() }
}

/** Adds or updates hosts. Returns those that are new or changed. */
export function addHosts (state: SourceSelectionState, hosts: KnownHost[]): KnownHost[] {
  const changed = hosts.filter(host => host.name !== state.own.name && !isSameHost(state.hosts.get(host.name), host))
  changed.forEach(host => {
    state.hosts.set(host.name, host)
    state.backoffs.delete(host.name)
  })
  return changed
}

/** Records that a host did not answer, or that its view is out of date. */
export function recordSourceFailure (state: SourceSelectionState, name: string, failure: SourceFailure, now: number): void {
  const consecutiveTimeouts = failure === SourceFailure.Unresponsive ? (state.backoffs.get(name)?.consecutiveTimeouts ?? 0) + 1 : 0
  const milliseconds = Math.min(maximumBackoffMilliseconds, initialBackoffMilliseconds * 2 ** Math.max(0, consecutiveTimeouts - 1))
  state.backoffs.set(name, { since: now, until: now + milliseconds, consecutiveTimeouts })
}

/** Records that a host called this host and is therefore reachable again; shortens its backoff to the initial one. */
export function recordIncomingCall (state: SourceSelectionState, name: string): void {
  const backoff = state.backoffs.get(name)
  if (backoff === undefined) return
  backoff.consecutiveTimeouts = 0
  backoff.until = Math.min(backoff.until, backoff.since + initialBackoffMilliseconds)
}

/** Records that a host is healthy, which ends its backoff. */
export function recordSourceSuccess (state: SourceSelectionState, name: string): void {
  state.backoffs.delete(name)
}

/** Returns the host to follow, or the own host if it should watch the store itself. While all hosts are in backoff, the current source is kept. */
export function chooseSource (state: SourceSelectionState, current: KnownHost, now: number): KnownHost {
  return findFirst(listAvailable(state, now)) ?? current
}

/** Returns the hosts that could take the place of a source, in source order. */
export function listNextSources (state: SourceSelectionState, source: string, now: number): KnownHost[] {
  return listFirstHosts(listAvailable(state, now).filter(({ name }) => name !== source), state.hosts.size)
}

/** Whether a host has failed as a source and has not answered since. A sound source is not left for such a host. */
export function isInDoubt (state: SourceSelectionState, name: string): boolean {
  return state.backoffs.has(name)
}

/** Returns the first hosts in source order, the order in which sources are chosen. */
export function listFirstHosts (hosts: Iterable<KnownHost>, count: number): KnownHost[] {
  return [...hosts].sort(compareHosts).slice(0, count)
}

function listAvailable (state: SourceSelectionState, now: number): KnownHost[] {
  return [...state.hosts.values()].filter(({ name }) => (state.backoffs.get(name)?.until ?? -Infinity) <= now)
}

function findFirst (hosts: KnownHost[]): KnownHost | undefined {
  return hosts.reduce<KnownHost | undefined>((first, host) => first === undefined || compareHosts(host, first) < 0 ? host : first, undefined)
}

function compareHosts (first: KnownHost, second: KnownHost): number {
  if (first.processorShare !== second.processorShare) return second.processorShare - first.processorShare
  return first.name < second.name ? -1 : 1
}

function isSameHost (known: KnownHost | undefined, host: KnownHost): boolean {
  return known !== undefined && known.peerAddress === host.peerAddress && known.guestAddress === host.guestAddress &&
    known.processorShare === host.processorShare
}
