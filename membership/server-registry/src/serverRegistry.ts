// Registry of the servers of all services, as listed in the store. It applies complete listings and
// incremental changes in the order of their versions. It numbers its own changes with revisions, so that a
// host can send another host only the changes that the other host does not have.
//
// Versions are comparable only within one history of the store. If the store was restored from an older copy, its list may show
// servers as they were before changes that are known here; serverHistory.ts decides which entries to believe.
import { digestText } from '@siskinbeam/random/hashText'
import { createServerHistory, isAnnounced, isFromBeforeDeparture, isLeftover, isOlderEntry, recordArrival, recordDeparture, startIgnored, type ServerHistory } from './serverHistory.js'

export enum ServerState {
  Ready = 'ready',
  Draining = 'draining'
}

/** A registered server. */
export interface RegisteredServer {
  id: string
  /** Start time in epoch milliseconds; distinguishes starts under the same ID. */
  boot: number
  /** Increases with each entry that one start of the server writes. */
  sequence: number
  service: string
  address: string
  dataCentre: string
  slots: number
  state: ServerState
  /** Remaining time, when the entry was written, in which the server is slow after its start. */
  warmUpMilliseconds: number
}

/** One change of the list. `server` is the current entry, or undefined if the server was removed. */
export interface RegistryChange {
  id: string
  /** Version of the store at which the change was made. */
  version: number
  server: RegisteredServer | undefined
}

/** Changes up to a version of the store. If `whole` is set, servers that are not named have been removed. */
export interface RegistryUpdate {
  whole: boolean
  /** Number of the store's history to which the versions belong. */
  era: number
  version: number
  changes: RegistryChange[]
}

/** An update for another host. `revision` is the revision of the sender's registry. */
export interface RelayedUpdate extends RegistryUpdate {
  revision: number
}

interface ListedServer {
  server: RegisteredServer
  /** 0 if the entry is known from an earlier history of the store only. */
  version: number
  revision: number
}

interface Removal {
  id: string
  version: number
  revision: number
}

export interface RegistryState {
  era: number
  /** Version of the store that the list matches; 0 if nothing has been read. */
  version: number
  revision: number
  servers: Map<string, ListedServer>
  removals: Removal[]
  /** Updates since an earlier revision than this one are complete lists, because older removals are no longer stored. */
  oldestRevision: number
  /** Delayed removals, by server ID, of servers that may register again because their entries expired during an outage of the store. */
  heldRemovals: Map<string, number>
  holdUntil: number
  history: ServerHistory
  digest: { revision: number, text: string }
}

/** Servers whose entries expired during an outage of the store register again within two seconds of its recovery. */
export const expiryGraceMilliseconds = 2_200
const maximumStoredRemovals = 1_000

/** Creates an empty registry. */
export function createRegistry (): RegistryState {
  return {
    era: 0,
    version: 0,
    revision: 0,
    servers: new Map(),
    removals: [],
    oldestRevision: 0,
    heldRemovals: new Map(),
    holdUntil: -Infinity,
    history: createServerHistory(),
    digest: { revision: -1, text: '' }
  }
}

/** Records that the store recovered from an outage. Removals are held until the grace period has passed. */
export function recordStoreRecovery (state: RegistryState, now: number): void {
  state.holdUntil = now + expiryGraceMilliseconds
}

/**
 * Applies an update and returns the IDs of the servers that changed or were removed. An update older than the list is ignored, and
 * so is one of a later history that does not contain the whole list.
 */
export function applyUpdate (state: RegistryState, update: RegistryUpdate, now: number): string[] {
  const isRestored = update.era > state.era
  if (update.era < state.era || (isRestored && !update.whole && state.version > 0) || (!isRestored && update.version < state.version)) return []
  if (isRestored) startEra(state, update, now)
  const named = new Set(update.changes.map(({ id }) => id))
  const missing = update.whole ? [...state.servers.keys()].filter(id => !named.has(id)) : []
  const changes = [...update.changes, ...missing.map(id => ({ id, version: update.version, server: undefined }))]
  state.version = update.version
  return changes.filter(change => applyChange(state, change, now)).map(({ id }) => id)
}

/** Applies held removals once the grace period has passed. Returns the IDs of the removed servers. */
export function applyHeldRemovals (state: RegistryState, now: number): string[] {
  if (now < state.holdUntil) return []
  const due = [...state.heldRemovals]
  state.heldRemovals.clear()
  due.forEach(([id, version]) => remove(state, id, version, now))
  return due.map(([id]) => id)
}

/** Returns the changes since a revision for a host that has this revision, or the complete list for revision 0. */
export function readUpdate (state: RegistryState, since: number): RelayedUpdate {
  const whole = since <= 0 || since < state.oldestRevision || since > state.revision
  const changed = [...state.servers.values()]
    .filter(({ revision }) => whole || revision > since)
    .map(({ server, version }) => ({ id: server.id, version, server }))
  const removed = whole
    ? []
    : state.removals
      .filter(({ id, revision }) => revision > since && !state.servers.has(id))
      .map(({ id, version }) => ({ id, version, server: undefined }))
  return { whole, era: state.era, version: state.version, revision: state.revision, changes: [...changed, ...removed] }
}

/** Returns a digest of the list that is equal on all hosts with the same list. */
export function digestServers (state: RegistryState): string {
  if (state.digest.revision !== state.revision) {
    const entries = [...state.servers].map(([id, { version, server }]) => `${id}:${version}:${server.state}`).sort().join()
    state.digest = { revision: state.revision, text: digestText(`${state.era}/${entries}`) }
  }
  return state.digest.text
}

/** Versions of entries start anew. Hosts that have an earlier revision get the whole list, since versions changed without a change of the entries. */
function startEra (state: RegistryState, { era }: RegistryUpdate, now: number): void {
  const isFirst = state.version === 0
  state.era = era
  startIgnored(state.history, era)
  if (isFirst) return
  state.servers.forEach(listed => { listed.version = 0 })
  state.heldRemovals.clear()
  // Followers that missed a departure of the earlier history learn of it.
  state.history.learntRevision += 1
  state.removals = []
  state.revision += 1
  state.oldestRevision = state.revision
  state.holdUntil = now + expiryGraceMilliseconds
}

function applyChange (state: RegistryState, change: RegistryChange, now: number): boolean {
  const known = state.servers.get(change.id)
  if (change.server !== undefined) {
    // An entry from before the removal, as another host may still have it, does not end the hold.
    if ((state.heldRemovals.get(change.id) ?? -Infinity) < change.version) state.heldRemovals.delete(change.id)
    if (known !== undefined && known.version >= change.version) return false
    if (known === undefined && (isFromBeforeDeparture(state.history, change, state.era) || isLeftover(state.history, change, state.era))) return false
    if (known !== undefined && known.version === 0 && isOlderEntry(change.server, known.server)) {
      known.version = change.version
      return false
    }
    recordArrival(state.history, change.server, known?.server, { era: state.era, version: change.version, at: now })
    state.revision += 1
    const server = isAnnounced(state.history, change.server) ? { ...change.server, state: ServerState.Draining } : change.server
    state.servers.set(change.id, { server, version: change.version, revision: state.revision })
    return true
  }
  state.history.ignored.delete(change.id)
  if (known === undefined) return false
  if (now < state.holdUntil) {
    state.heldRemovals.set(change.id, change.version)
    return false
  }
  remove(state, change.id, change.version, now)
  return true
}

function remove (state: RegistryState, id: string, version: number, now: number): void {
  const known = state.servers.get(id)
  if (known !== undefined) recordDeparture(state.history, known.server, { era: state.era, version, at: now })
  unlist(state, id, version)
}

/** Removes a server from the list. */
export function unlist (state: RegistryState, id: string, version: number): void {
  state.servers.delete(id)
  state.revision += 1
  state.removals.push({ id, version, revision: state.revision })
  const evicted = state.removals.splice(0, Math.max(0, state.removals.length - maximumStoredRemovals))
  state.oldestRevision = Math.max(state.oldestRevision, ...evicted.map(({ revision }) => revision))
}
