// Registry of the servers of all services, as listed in the store. It applies complete listings and
// incremental changes in the order of their versions. It numbers its own changes with revisions, so that a
// host can send another host only the changes that the other host does not have.
import { digestText } from '@siskinbeam/random/hashText'

export enum ServerState {
  Ready = 'ready',
  Draining = 'draining'
}

/** A registered server. */
export interface RegisteredServer {
  id: string
  /** Start time in epoch milliseconds; distinguishes starts under the same ID. */
  boot: number
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
  version: number
  changes: RegistryChange[]
}

/** An update for another host. `revision` is the revision of the sender's registry. */
export interface RelayedUpdate extends RegistryUpdate {
  revision: number
}

interface ListedServer {
  server: RegisteredServer
  version: number
  revision: number
}

interface Removal {
  id: string
  version: number
  revision: number
}

export interface RegistryState {
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
  digest: { revision: number, text: string }
}

/** Servers whose entries expired during an outage of the store register again within two seconds of its recovery. */
export const expiryGraceMilliseconds = 2_200
const maximumStoredRemovals = 1_000

/** Creates an empty registry. */
export function createRegistry (): RegistryState {
  return { version: 0, revision: 0, servers: new Map(), removals: [], oldestRevision: 0, heldRemovals: new Map(), holdUntil: -Infinity, digest: { revision: -1, text: '' } }
}

/** Records that the store recovered from an outage. Removals are held until the grace period has passed. */
export function recordStoreRecovery (state: RegistryState, now: number): void {
  state.holdUntil = now + expiryGraceMilliseconds
}

/** Applies an update and returns the IDs of the servers that changed or were removed. An update older than the list is ignored. */
export function applyUpdate (state: RegistryState, update: RegistryUpdate, now: number): string[] {
  if (update.version < state.version) return []
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
  due.forEach(([id, version]) => remove(state, id, version))
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
  return { whole, version: state.version, revision: state.revision, changes: [...changed, ...removed] }
}

/** Returns a digest of the list that is equal on all hosts with the same list. */
export function digestServers (state: RegistryState): string {
  if (state.digest.revision !== state.revision) {
    const entries = [...state.servers].map(([id, { version }]) => `${id}:${version}`).sort().join()
    state.digest = { revision: state.revision, text: digestText(entries) }
  }
  return state.digest.text
}

function applyChange (state: RegistryState, change: RegistryChange, now: number): boolean {
  const known = state.servers.get(change.id)
  if (change.server !== undefined) {
    state.heldRemovals.delete(change.id)
    if (known !== undefined && known.version >= change.version) return false
    state.revision += 1
    state.servers.set(change.id, { server: change.server, version: change.version, revision: state.revision })
    return true
  }
  if (known === undefined) return false
  if (now < state.holdUntil) {
    state.heldRemovals.set(change.id, change.version)
    return false
  }
  remove(state, change.id, change.version)
  return true
}

function remove (state: RegistryState, id: string, version: number): void {
  state.servers.delete(id)
  state.revision += 1
  state.removals.push({ id, version, revision: state.revision })
  const evicted = state.removals.splice(0, Math.max(0, state.removals.length - maximumStoredRemovals))
  state.oldestRevision = Math.max(state.oldestRevision, ...evicted.map(({ revision }) => revision))
}
