// The health of the servers of one service: boot identity, drain and ejection.
//
// A server is leaving from the first of three signs: the draining header, a refused connection, or the
// host list. The host list lags in both directions. Its `live` therefore never reinstates a server; only
// a new boot id does. Its `leaving` counts when it appears, not while it stays, since it may outlast the
// boot it was about.
//
// Two signs can be wrong and would exclude a healthy server for good: a refused connection may come from
// a full listen queue, and a `leaving` that appears after a new boot may be the late notice of a drain
// already seen. These two are lifted if the same boot answers a probe on a new connection, opened after
// the sign, without the draining header: a server that is leaving accepts no new connections. The same
// holds for a `leaving` that the host list withdraws, if no boot was known when it appeared: a restart in
// between cannot be told from the boot id.
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { enforceEjectionLimit, noteFailure, noteLatency } from './ejection.js'
import {
  createServerHealth, DrainSign, HealthCommandKind, HealthEventKind,
  type HealthCommand, type HealthEvent, type ServerHealth, type ServerHealthState, type ServerSigns
} from './healthState.js'

// Invariant 5: how long after the first sign a request chosen before it may still be written.
export const leavingGraceMilliseconds = 3_000
const formerBootsKept = 4

export interface StepServerHealthOptions {
  state: ServerHealthState
  event: HealthEvent
  now: number
}

type EventOf<Kind extends HealthEventKind> = Extract<HealthEvent, { kind: Kind }>
type Handlers = { [Kind in HealthEventKind]: (state: ServerHealthState, event: EventOf<Kind>, now: number) => HealthCommand[] }

/** Takes one event into the state. Events about servers that are not in use are ignored. */
export function stepServerHealth ({ state, event, now }: StepServerHealthOptions): HealthCommand[] {
  const handle = handlers[event.kind] as (state: ServerHealthState, event: HealthEvent, now: number) => HealthCommand[]
  return handle(state, event, now)
}

const nothing: HealthCommand[] = []

const handlers: Handlers = {
  [HealthEventKind.ServersChanged]: (state, { servers }, now) => {
    const kept = new Set(servers)
    const removed = [...state.servers.keys()].filter(name => !kept.has(name))
    removed.forEach(name => state.servers.delete(name))
    // Servers added to a service in use may have just started; on the first call there is nothing else to use.
    const slowStartFrom = state.servers.size > 0 ? now : undefined
    servers
      .filter(name => !state.servers.has(name))
      .forEach(name => state.servers.set(name, createServerHealth(name, slowStartFrom)))
    return enforceEjectionLimit(state, now)
  },
  [HealthEventKind.Sent]: (state, { server }, now) => {
    const leaving = state.servers.get(server)?.leaving
    checkInvariant({
      invariant: Invariant.NoWorkForLeavingServer,
      holds: leaving === undefined || now - leaving.since <= leavingGraceMilliseconds,
      detail: () => `request sent to ${server} ${now - (leaving?.since ?? now)} ms after sign ${leaving?.sign}`
    })
    return nothing
  },
  [HealthEventKind.Responded]: (state, { server, signs, latencyMilliseconds }, now) => {
    const health = state.servers.get(server)
    if (health === undefined || isFormerBoot(health, signs)) return nothing
    const commands = noteSigns(state, health, signs, now)
    health.consecutiveFailures = 0
    if (latencyMilliseconds === undefined) return commands
    const ejection = noteLatency(state, health, latencyMilliseconds, now)
    return ejection.length === 0 ? commands : [...commands, ...ejection]
  },
  [HealthEventKind.Failed]: (state, { server, signs }, now) => {
    const health = state.servers.get(server)
    if (health === undefined || (signs !== undefined && isFormerBoot(health, signs))) return nothing
    const commands = signs === undefined ? nothing : noteSigns(state, health, signs, now)
    return [...commands, ...noteFailure(state, health, now)]
  },
  [HealthEventKind.ConnectionRefused]: (state, { server }, now) => {
    const health = state.servers.get(server)
    return health === undefined ? nothing : markLeaving(state, health, DrainSign.RefusedConnection, true, now)
  },
  [HealthEventKind.ProbeAnswered]: (state, { server, signs, newConnection, sentAt }, now) => {
    const health = state.servers.get(server)
    if (health === undefined || isFormerBoot(health, signs)) return nothing
    const commands = noteSigns(state, health, signs, now)
    const { leaving } = health
    const contradicted = leaving?.contradictable === true && !signs.draining && newConnection && sentAt > leaving.since
    return contradicted ? [...commands, ...reinstate(health, now)] : commands
  },
  [HealthEventKind.HostListRead]: (state, { leaving }, now) => [...state.servers.values()].flatMap(health => {
    const listed = leaving.has(health.name)
    const appeared = listed && !health.listedAsLeaving
    const withdrawn = !listed && health.listedAsLeaving
    health.listedAsLeaving = listed
    if (withdrawn && health.leaving?.sign === DrainSign.HostList && health.leaving.boot === undefined) health.leaving.contradictable = true
    return appeared ? noteListedAsLeaving(state, health, now) : nothing
  })
}

function noteListedAsLeaving (state: ServerHealthState, health: ServerHealth, now: number): HealthCommand[] {
  const maybeOfFormerBoot = health.listBehind && health.leaving === undefined
  health.listBehind = false
  return markLeaving(state, health, DrainSign.HostList, maybeOfFormerBoot, now)
}

const isFormerBoot = (health: ServerHealth, { boot }: ServerSigns): boolean =>
  boot !== undefined && boot !== health.boot && health.formerBoots.includes(boot)

function noteSigns (state: ServerHealthState, health: ServerHealth, { boot, draining }: ServerSigns, now: number): HealthCommand[] {
  const changed = boot !== undefined && boot !== health.boot ? changeBoot(health, boot, now) : nothing
  return draining ? [...changed, ...markLeaving(state, health, DrainSign.Header, false, now)] : changed
}

function changeBoot (health: ServerHealth, boot: string, now: number): HealthCommand[] {
  const former = health.boot
  health.boot = boot
  // The first boot seen is not a restart; if the server is leaving, it is the boot that leaves.
  if (former === undefined) return nothing
  health.formerBoots = [former, ...health.formerBoots].slice(0, formerBootsKept)
  health.consecutiveFailures = 0
  health.latencySamples = 0
  health.slowSince = undefined
  health.ejectedUntil = Math.min(health.ejectedUntil, now)
  return reinstate(health, now)
}

function markLeaving (state: ServerHealthState, health: ServerHealth, sign: DrainSign, contradictable: boolean, now: number): HealthCommand[] {
  if (health.leaving !== undefined) {
    // A second, certain sign confirms an uncertain one; the first sign keeps its time.
    health.leaving.contradictable &&= contradictable
    return nothing
  }
  health.leaving = { sign, since: now, boot: health.boot, contradictable }
  health.listBehind = !health.listedAsLeaving
  return [{ kind: HealthCommandKind.StopSending, server: health.name, sign }, ...enforceEjectionLimit(state, now)]
}

function reinstate (health: ServerHealth, now: number): HealthCommand[] {
  health.leaving = undefined
  health.slowStartFrom = now
  return [{ kind: HealthCommandKind.Reinstate, server: health.name }]
}
