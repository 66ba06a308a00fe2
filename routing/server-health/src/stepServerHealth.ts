// State machine for the health of the servers of one service: boot ID, draining and ejection.
//
// A server is marked as leaving on the first of three signals: the draining header, a refused connection,
// or the host list. The host list is updated late in both directions. Its `live` status therefore never
// reinstates a server; only a new boot ID does. Its `leaving` status takes effect on the change to it, not
// while it lasts, because it may still be listed after the server has restarted.
//
// Two signals can be false and would exclude a healthy server permanently: a connection may be refused
// because the listen queue is full, and a `leaving` that appears after a new boot may be the delayed report
// of a drain that was already detected. Both are revoked if the same boot responds to a probe without the
// draining header on a connection opened after the signal, because a leaving server accepts no new
// connections. The same applies to a `leaving` that the host list withdraws if no boot ID was known when
// it appeared: the boot ID then cannot show whether the server restarted in between.
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { enforceEjectionLimit, recordFailure, recordLatency } from './ejection.js'
import {
  createServerHealth, DrainSignal, HealthCommandKind, HealthEventKind,
  type HealthCommand, type HealthEvent, type ServerHealth, type ServerHealthState, type ServerStateHeaders
} from './healthState.js'

// `Invariant.NoWorkForLeavingServer` allows a request routed before the first signal to be sent for this long after it.
export const leavingGraceMilliseconds = 3_000
const maximumPreviousBoots = 4

export interface StepServerHealthOptions {
  state: ServerHealthState
  event: HealthEvent
  now: number
}

type EventOf<Kind extends HealthEventKind> = Extract<HealthEvent, { kind: Kind }>
type Handlers = { [Kind in HealthEventKind]: (state: ServerHealthState, event: EventOf<Kind>, now: number) => HealthCommand[] }

/** Updates the state for one event and returns the resulting commands. Events for unknown servers are ignored. */
export function stepServerHealth ({ state, event, now }: StepServerHealthOptions): HealthCommand[] {
  const handle = handlers[event.kind] as (state: ServerHealthState, event: HealthEvent, now: number) => HealthCommand[]
  return handle(state, event, now)
}

const noCommands: HealthCommand[] = []

const handlers: Handlers = {
  [HealthEventKind.ServersChanged]: (state, { servers }, now) => {
    const current = new Set(servers)
    const removed = [...state.servers.keys()].filter(name => !current.has(name))
    removed.forEach(name => state.servers.delete(name))
    // Servers added later may have just started. The first call has no other servers to take the traffic, so it skips slow start.
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
      detail: () => `request sent to leaving server ${server} ${now - (leaving?.since ?? now)} ms after signal ${leaving?.sign}`
    })
    return noCommands
  },
  [HealthEventKind.Responded]: (state, { server, signs, latencyMilliseconds }, now) => {
    const health = state.servers.get(server)
    if (health === undefined || isPreviousBoot(health, signs)) return noCommands
    const commands = applySigns(state, health, signs, now)
    health.consecutiveFailures = 0
    if (latencyMilliseconds === undefined) return commands
    const ejection = recordLatency(state, health, latencyMilliseconds, now)
    return ejection.length === 0 ? commands : [...commands, ...ejection]
  },
  [HealthEventKind.Failed]: (state, { server, signs }, now) => {
    const health = state.servers.get(server)
    if (health === undefined || (signs !== undefined && isPreviousBoot(health, signs))) return noCommands
    const commands = signs === undefined ? noCommands : applySigns(state, health, signs, now)
    return [...commands, ...recordFailure(state, health, now)]
  },
  [HealthEventKind.ConnectionRefused]: (state, { server }, now) => {
    const health = state.servers.get(server)
    return health === undefined ? noCommands : markLeaving(state, health, DrainSignal.RefusedConnection, true, now)
  },
  [HealthEventKind.ProbeResponded]: (state, { server, signs, newConnection, sentAt }, now) => {
    const health = state.servers.get(server)
    if (health === undefined || isPreviousBoot(health, signs)) return noCommands
    const commands = applySigns(state, health, signs, now)
    const { leaving } = health
    const revoked = leaving?.revocable === true && !signs.draining && newConnection && sentAt > leaving.since
    return revoked ? [...commands, ...reinstate(health, now)] : commands
  },
  [HealthEventKind.HostListRead]: (state, { leaving }, now) => [...state.servers.values()].flatMap(health => {
    const listed = leaving.has(health.name)
    const appeared = listed && !health.listedAsLeaving
    const withdrawn = !listed && health.listedAsLeaving
    health.listedAsLeaving = listed
    if (withdrawn && health.leaving?.sign === DrainSignal.HostList && health.leaving.boot === undefined) health.leaving.revocable = true
    return appeared ? handleListedAsLeaving(state, health, now) : noCommands
  })
}

function handleListedAsLeaving (state: ServerHealthState, health: ServerHealth, now: number): HealthCommand[] {
  const mayConcernPreviousBoot = health.hostListStale && health.leaving === undefined
  health.hostListStale = false
  return markLeaving(state, health, DrainSignal.HostList, mayConcernPreviousBoot, now)
}

const isPreviousBoot = (health: ServerHealth, { boot }: ServerStateHeaders): boolean =>
  boot !== undefined && boot !== health.boot && health.previousBoots.includes(boot)

function applySigns (state: ServerHealthState, health: ServerHealth, { boot, draining }: ServerStateHeaders, now: number): HealthCommand[] {
  const changed = boot !== undefined && boot !== health.boot ? changeBoot(health, boot, now) : noCommands
  return draining ? [...changed, ...markLeaving(state, health, DrainSignal.Header, false, now)] : changed
}

function changeBoot (health: ServerHealth, boot: string, now: number): HealthCommand[] {
  const previousBoot = health.boot
  health.boot = boot
  // The first boot ID is not a restart. If the server is leaving, this is the boot that leaves.
  if (previousBoot === undefined) return noCommands
  health.previousBoots = [previousBoot, ...health.previousBoots].slice(0, maximumPreviousBoots)
  health.consecutiveFailures = 0
  health.latencySamples = 0
  health.stragglingSince = undefined
  health.ejectedUntil = Math.min(health.ejectedUntil, now)
  return reinstate(health, now)
}

function markLeaving (state: ServerHealthState, health: ServerHealth, sign: DrainSignal, revocable: boolean, now: number): HealthCommand[] {
  if (health.leaving !== undefined) {
    // A second signal that is not revocable confirms a revocable one; the time of the first signal is kept.
    health.leaving.revocable &&= revocable
    return noCommands
  }
  health.leaving = { sign, since: now, boot: health.boot, revocable }
  health.hostListStale = !health.listedAsLeaving
  return [{ kind: HealthCommandKind.StopSending, server: health.name, sign }, ...enforceEjectionLimit(state, now)]
}

function reinstate (health: ServerHealth, now: number): HealthCommand[] {
  health.leaving = undefined
  health.slowStartFrom = now
  return [{ kind: HealthCommandKind.Reinstate, server: health.name }]
}
