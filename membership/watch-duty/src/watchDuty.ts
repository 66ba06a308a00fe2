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

export interface DutyState {
  own: KnownHost
  hosts: Map<string, KnownHost>
  /** Hosts that failed as a source, with the time until which they are passed over. */
  passedOver: Map<string, number>
}

/** A host that restarts is back within this time. */
const firstPassOverMilliseconds = 3_000

/** Starts with the own host alone. */
export function createDutyState (own: KnownHost): DutyState {
  return { own, hosts: new Map([[own.name, own]]), passedOver: new Map() }
}

/** Adds hosts or replaces what is known of them. Gives those that are new or changed. */
export function addHosts (state: DutyState, hosts: KnownHost[]): KnownHost[] {
  const changed = hosts.filter(host => host.name !== state.own.name && !isSameHost(state.hosts.get(host.name), host))
  changed.forEach(host => state.hosts.set(host.name, host))
  return changed
}

/** Takes note that a host did not answer, or that what it knows is out of date. */
export function noteSourceFailed (state: DutyState, name: string, now: number): void {
  state.passedOver.set(name, now + firstPassOverMilliseconds)
}

/** Takes note that a host works. */
export function noteSourceWorks (state: DutyState, name: string): void {
  state.passedOver.delete(name)
}

/** The host to follow; the own host if it is to watch itself. If all failed, the present one is kept until one may be tried again. */
export function chooseSource (state: DutyState, present: KnownHost, now: number): KnownHost {
  const working = [...state.hosts.values()]
    .filter(({ name }) => (state.passedOver.get(name) ?? -Infinity) <= now)
    .sort(compareHosts)
  return working[0] ?? present
}

function compareHosts (first: KnownHost, second: KnownHost): number {
  if (first.processorShare !== second.processorShare) return second.processorShare - first.processorShare
  return first.name < second.name ? -1 : 1
}

function isSameHost (known: KnownHost | undefined, host: KnownHost): boolean {
  return known !== undefined && known.peerAddress === host.peerAddress && known.guestAddress === host.guestAddress &&
    known.processorShare === host.processorShare
}
