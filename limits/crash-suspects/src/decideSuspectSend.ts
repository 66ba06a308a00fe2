// Decides how a request is sent with regard to crashes; asked right before each send.
//
// A suspect is held for a moment after any death of a server, until the hosts have heard from each
// other. Then every host sends it to the same server, chosen by rendezvous hashing. Copies of a request
// that its caller sends through several hosts at once thus endanger one server at a time.
import { SuspectStatus, type CrashSuspectsState, type Suspect } from './crashTypes.js'

export enum SendVerdictKind {
  Free = 'free',
  Held = 'held',
  Isolated = 'isolated',
  Refused = 'refused'
}

export type SendVerdict =
  | { kind: SendVerdictKind.Free }
  /** Ask again at this time, or when the request is cleared. */
  | { kind: SendVerdictKind.Held, until: number }
  /** Send on a new connection, not hedged, and to this server if one is named. */
  | { kind: SendVerdictKind.Isolated, server?: string }
  /** Answer with `CrashSuspect`. */
  | { kind: SendVerdictKind.Refused }

export interface DecideSuspectSendOptions {
  state: CrashSuspectsState
  fingerprint: string
  /** Names of the servers that may be chosen. */
  servers: readonly string[]
  now: number
}

/** An announcement takes a few milliseconds; the rest covers peers that are slow to read it. */
const holdMilliseconds = 150
/** While several servers die within two seconds, the next to die may be the one chosen for a suspect. */
const burstHoldMilliseconds = 300
const burstDeaths = 3
const burstMilliseconds = 2_000
/** A server rarely has more requests in flight; beyond it, suspects may share a server. */
const maximumSeparated = 16

const free: SendVerdict = { kind: SendVerdictKind.Free }

// FNV-1a with a final mix, because names of servers often differ in the last digit only.
const hash = (text: string): number => {
  let value = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) value = Math.imul(value ^ text.charCodeAt(index), 0x01000193)
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35)
  return (value ^ (value >>> 16)) >>> 0
}

const findHoldEnd = ({ serverDeaths }: CrashSuspectsState, now: number): number => {
  const times = [...serverDeaths.values()].map(({ at }) => at)
  const inBurst = times.filter(at => now - at < burstMilliseconds).length >= burstDeaths
  return Math.max(...times) + (inBurst ? burstHoldMilliseconds : holdMilliseconds)
}

const chooseServer = (suspect: Suspect, servers: readonly string[], taken: ReadonlySet<string>): string | undefined => {
  const avoided = new Set([...suspect.deaths.values()].map(({ server }) => server))
  return servers
    .filter(server => !avoided.has(server) && !taken.has(server))
    .map(server => ({ server, weight: hash(`${server} ${suspect.fingerprint}`) }))
    .reduce<{ server: string, weight: number } | undefined>((best, other) => best === undefined || other.weight > best.weight ? other : best, undefined)?.server
}

// Suspects that share a death get different servers. Otherwise an innocent one could be in flight on the
// next server that the guilty one kills. Neither times nor the status count here, because hosts learn
// of them at different moments and would choose different servers.
const chooseSeparateServer = (state: CrashSuspectsState, suspect: Suspect, servers: readonly string[]): string | undefined => {
  const keys = [...suspect.deaths.keys()]
  const before = [...state.suspects.values()]
    .filter(other => other.fingerprint < suspect.fingerprint && keys.some(key => other.deaths.has(key)))
    .sort((first, second) => first.fingerprint < second.fingerprint ? -1 : 1)
    .slice(0, maximumSeparated)
  const taken = new Set<string>()
  before.forEach(other => {
    const server = chooseServer(other, servers, taken)
    if (server !== undefined) taken.add(server)
  })
  return chooseServer(suspect, servers, taken) ?? chooseServer(suspect, servers, new Set())
}

/** Decides how a request may be sent now. The path of a request that is no suspect is one map lookup. */
export function decideSuspectSend ({ state, fingerprint, servers, now }: DecideSuspectSendOptions): SendVerdict {
  const suspect = state.suspects.size === 0 ? undefined : state.suspects.get(fingerprint)
  if (suspect === undefined || suspect.status === SuspectStatus.Cleared) return free
  if (suspect.status === SuspectStatus.Blamed) return { kind: SendVerdictKind.Refused }
  // A request in common use would overload a single server, and is cleared by its next success anyway.
  if (suspect.succeededBefore) return { kind: SendVerdictKind.Isolated }
  const until = findHoldEnd(state, now)
  if (now < until) return { kind: SendVerdictKind.Held, until }
  return { kind: SendVerdictKind.Isolated, server: chooseSeparateServer(state, suspect, servers) }
}
