// Chooses the hosts that are asked to forward a request to a server, for a host that reaches none itself. Hosts of the own data centre come
// first, as long as enough of them are left to share the work.
import { sample, type Random } from '@siskinbeam/random/createRandom'

/** A host that may forward requests of others. */
export interface PeerHost {
  name: string
  dataCentre: string
  peerAddress: string
  /** Whether it has said that it reaches no server of some service itself. */
  isCutOff: boolean
}

export enum PeerRefusal {
  /** It reaches no server of the service either. */
  OutOfReach = 'out-of-reach',
  /** It takes no request for another reason. */
  Declined = 'declined',
  /** It did not respond. */
  Silent = 'silent'
}

export interface PeerChoiceState {
  /** Until when a host is not asked again for a service, or for any service, in milliseconds of the monotonic clock. */
  refusals: Map<string, { reason: PeerRefusal, until: number }>
}

export interface ChoosePeersOptions {
  peers: readonly PeerHost[]
  dataCentre: string
  /** Number of live hosts of the own data centre, the own one included. */
  localHosts: number
  service: string
  /** Names of the hosts that this request has been offered to. */
  asked: ReadonlySet<string>
  count: number
  now: number
  random: Random
}

/** A host is asked again after this time. */
const backoffMilliseconds: Record<PeerRefusal, number> = {
  [PeerRefusal.OutOfReach]: 1_000,
  [PeerRefusal.Declined]: 1_000,
  [PeerRefusal.Silent]: 2_000
}
/** With fewer hosts left in the data centre than this share, each would take the work of more than one further host. */
const minimumLocalShare = 0.5
const maximumRefusals = 1_024
const anyService = ''

/** Creates a state without refusals. */
export function createPeerChoiceState (): PeerChoiceState {
  return { refusals: new Map() }
}

/** Returns hosts to ask, in random order. Those that have said that they are cut off come last. */
export function choosePeers (state: PeerChoiceState, { peers, dataCentre, localHosts, service, asked, count, now, random }: ChoosePeersOptions): PeerHost[] {
  const mayBeAsked = ({ name }: PeerHost): boolean => !asked.has(name) && findRefusal(state, name, service, now) === undefined
  const available = peers.filter(mayBeAsked)
  const connected = available.filter(({ isCutOff }) => !isCutOff)
  const local = connected.filter(peer => peer.dataCentre === dataCentre)
  const first = local.length >= minimumLocalShare * localHosts ? local : connected
  const isIn = (group: readonly PeerHost[]) => (peer: PeerHost): boolean => group.includes(peer)
  return [first, connected.filter(peer => !isIn(first)(peer)), available.filter(({ isCutOff }) => isCutOff)]
    .flatMap(group => sample(random, group, count))
    .slice(0, count)
}

/** Whether all hosts that responded lately reach no server of the service, so that asking again is useless for a moment. */
export function isOutOfReachEverywhere (state: PeerChoiceState, { peers, service, now }: Pick<ChoosePeersOptions, 'peers' | 'service' | 'now'>): boolean {
  const reasons = peers.map(({ name }) => findRefusal(state, name, service, now)?.reason).filter(reason => reason !== PeerRefusal.Silent)
  return reasons.length > 0 && reasons.every(reason => reason === PeerRefusal.OutOfReach)
}

/** Records that a host does not forward requests for a service now. One that is silent is not asked for any service. */
export function recordPeerRefusal ({ refusals }: PeerChoiceState, { name, service, reason, now }: { name: string, service: string, reason: PeerRefusal, now: number }): void {
  refusals.set(formatKey(name, reason === PeerRefusal.Silent ? anyService : service), { reason, until: now + backoffMilliseconds[reason] })
  if (refusals.size <= maximumRefusals) return
  refusals.forEach(({ until }, key) => { if (until <= now) refusals.delete(key) })
  const [oldest] = refusals.keys()
  if (refusals.size > maximumRefusals && oldest !== undefined) refusals.delete(oldest)
}

function findRefusal ({ refusals }: PeerChoiceState, name: string, service: string, now: number): { reason: PeerRefusal } | undefined {
  return [service, anyService].map(each => refusals.get(formatKey(name, each))).find(refusal => refusal !== undefined && refusal.until > now)
}

function formatKey (name: string, service: string): string {
  return `${name} ${service}`
}
