// Decides right before each send whether a request is sent without restrictions, held, isolated or refused.
//
// After any death of a server, a suspect is held for a short time until the hosts have exchanged their
// reports. Then every host sends it to the same server, selected by rendezvous hashing, so that copies of a
// request that are sent through several hosts at once can crash only one server at a time.
import { SuspectStatus, type CrashSuspectsState, type Suspect } from './crashTypes.js'

export enum SendDecisionKind {
  Free = 'free',
  Held = 'held',
  Isolated = 'isolated',
  Refused = 'refused'
}

export type SendDecision =
  | { kind: SendDecisionKind.Free }
  /** Decide again at this time, or as soon as the request is cleared. */
  | { kind: SendDecisionKind.Held, until: number }
  /** Send on a new connection, without hedging, and to this server if one is given. */
  | { kind: SendDecisionKind.Isolated, server?: string }
  /** Respond with `CrashSuspect`. */
  | { kind: SendDecisionKind.Refused }

export interface DecideSuspectSendOptions {
  state: CrashSuspectsState
  fingerprint: string
  /** Names of the eligible servers. */
  servers: readonly string[]
  now: number
}

/** An announcement takes a few milliseconds; the rest allows for peers that are slow to process it. */
const holdMilliseconds = 150
/** Used while several servers die within two seconds, since the next server to die may be the one selected for a suspect. */
const burstHoldMilliseconds = 300
const burstDeaths = 3
const burstMilliseconds = 2_000
/** A server rarely has more requests in flight. Suspects beyond this number may share a server. */
const maximumSeparatedSuspects = 16

const unrestricted: SendDecision = { kind: SendDecisionKind.Free }

// FNV-1a with a finalizer, because server names often differ only in the last digit.
const hashText = (text: string): number => {
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

const selectServer = (suspect: Suspect, servers: readonly string[], assigned: ReadonlySet<string>): string | undefined => {
  const diedServers = new Set([...suspect.deaths.values()].map(({ server }) => server))
  return servers
    .filter(server => !diedServers.has(server) && !assigned.has(server))
    .map(server => ({ server, weight: hashText(`${server} ${suspect.fingerprint}`) }))
    .reduce<{ server: string, weight: number } | undefined>((best, other) => best === undefined || other.weight > best.weight ? other : best, undefined)?.server
}

// Suspects that have a death in common are sent to different servers. Otherwise a harmless request could be in
// flight on the next server that is crashed by the other one. Times and the status are not used here, because
// hosts learn of them at different moments and would select different servers.
const selectSeparateServer = (state: CrashSuspectsState, suspect: Suspect, servers: readonly string[]): string | undefined => {
  const deathKeys = [...suspect.deaths.keys()]
  const precedingSuspects = [...state.suspects.values()]
    .filter(other => other.fingerprint < suspect.fingerprint && deathKeys.some(key => other.deaths.has(key)))
    .sort((first, second) => first.fingerprint < second.fingerprint ? -1 : 1)
    .slice(0, maximumSeparatedSuspects)
  const assigned = new Set<string>()
  precedingSuspects.forEach(other => {
    const server = selectServer(other, servers, assigned)
    if (server !== undefined) assigned.add(server)
  })
  return selectServer(suspect, servers, assigned) ?? selectServer(suspect, servers, new Set())
}

/** Decides how a request may be sent now. For a request that is not a suspect, this costs one map lookup. */
export function decideSuspectSend ({ state, fingerprint, servers, now }: DecideSuspectSendOptions): SendDecision {
  const suspect = state.suspects.size === 0 ? undefined : state.suspects.get(fingerprint)
  if (suspect === undefined || suspect.status === SuspectStatus.Cleared) return unrestricted
  if (suspect.status === SuspectStatus.Blamed) return { kind: SendDecisionKind.Refused }
  // A frequent request would overload a single server, and is cleared by its next success anyway.
  if (suspect.succeededBefore) return { kind: SendDecisionKind.Isolated }
  const until = findHoldEnd(state, now)
  if (now < until) return { kind: SendDecisionKind.Held, until }
  return { kind: SendDecisionKind.Isolated, server: selectSeparateServer(state, suspect, servers) }
}
