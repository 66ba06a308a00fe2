// Which entry host of a data centre watches the store for the others. No vote is taken: every host puts
// the hosts that it knows in the same order and follows the first one that works. Two hosts that watch
// cost calls to the store and nothing else, so disagreement does no harm. A host that is asked by
// followers watches, whatever its own view is.

/** An entry host of the own data centre. */
export interface KnownHost {
  name: string
  peerAddress: string
  guestAddress: string
  /** Share of a core; hosts with more of it come first. */
  processorShare: number
}

/** Why a host is not followed for a while. */
export enum SourceFailure {
  /** It did not answer. */
  Silent = 'silent',
  /** It answered, but its own calls to the store fail or its view is old. */
  OutOfDate = 'out-of-date'
}

interface PassedOver {
  since: number
  until: number
  /** Times in a row that it did not answer. */
  silences: number
}

export interface DutyState {
  own: KnownHost
  hosts: Map<string, KnownHost>
  /** Hosts that failed as a source. */
  passedOver: Map<string, PassedOver>
}

/** A host that restarts is back within this time. */
const firstPassOverMilliseconds = 3_000
/** Hosts that stay silent are tried less and less often, since each try holds up the caller. */
const longestPassOverMilliseconds = 24_000

/** Starts with the own host alone. */
export function createDutyState (own: KnownHost): DutyState {
  return { own, hosts: new Map([[own.name, own]]), passedOver: new Map() }
}

/** Adds hosts or replaces what is known of them. Gives those that are new or changed. */
export function addHosts (state: DutyState, hosts: KnownHost[]): KnownHost[] {
  const changed = hosts.filter(host => host.name !== state.own.name && !isSameHost(state.hosts.get(host.name), host))
  changed.forEach(host => {
    state.hosts.set(host.name, host)
    state.passedOver.delete(host.name)
  })
  return changed
}

/** Takes note that a host did not answer, or that what it knows is out of date. */
export function noteSourceFailed (state: DutyState, name: string, failure: SourceFailure, now: number): void {
  const silences = failure === SourceFailure.Silent ? (state.passedOver.get(name)?.silences ?? 0) + 1 : 0
  const milliseconds = Math.min(longestPassOverMilliseconds, firstPassOverMilliseconds * 2 ** Math.max(0, silences - 1))
  state.passedOver.set(name, { since: now, until: now + milliseconds, silences })
}

/** Takes note that a host called, so that it is not silent any more. */
export function noteHostCalled (state: DutyState, name: string): void {
  const passed = state.passedOver.get(name)
  if (passed === undefined) return
  passed.silences = 0
  passed.until = Math.min(passed.until, passed.since + firstPassOverMilliseconds)
}

/** Takes note that a host works. */
export function noteSourceWorks (state: DutyState, name: string): void {
  state.passedOver.delete(name)
}

/** The host to follow; the own host if it is to watch itself. If all failed, the present one is kept until one may be tried again. */
export function chooseSource (state: DutyState, present: KnownHost, now: number): KnownHost {
  const working = [...state.hosts.values()].filter(({ name }) => (state.passedOver.get(name)?.until ?? -Infinity) <= now)
  return findFirst(working) ?? present
}

/** The hosts that come first in the order in which sources are chosen. */
export function listFirstHosts (hosts: Iterable<KnownHost>, count: number): KnownHost[] {
  return [...hosts].sort(compareHosts).slice(0, count)
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
