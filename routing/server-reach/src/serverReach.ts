// Detects that a host can't reach the servers of a service: none of its new connections gets a response. A single server that does not respond
// may have ended, so several in a row have to fail without a response of any other server. Connections that were open before may live on, and
// can still be used while they respond. The state is constant in size for each service.

/** Whether an exchange was the first one on its connection. */
export enum ConnectionAge {
  New = 'new',
  Used = 'used'
}

export interface ServiceReach {
  /** Servers that have failed to respond since the latest response of any server of the service, up to the number that decides. */
  silentServers: Set<string>
  /** Since when the service is out of reach, in milliseconds of the monotonic clock; undefined if it is within reach. */
  outOfReachSince: number | undefined
  /** Whether nothing speaks against the connections that are still open. */
  openConnectionsRespond: boolean
}

export interface ReachState {
  services: Map<string, ServiceReach>
}

export enum ReachChange {
  Lost = 'lost',
  Regained = 'regained'
}

export interface RecordSilenceOptions {
  service: string
  server: string
  connection: ConnectionAge
  /** Number of servers of the service that the host could contact. */
  servers: number
  now: number
}

/** Fewer servers can be down at once without anything being wrong with the host. */
const decisiveServers = 3

/** Creates a state in which all services are within reach. */
export function createReachState (): ReachState {
  return { services: new Map() }
}

/** Records that a server responded, whatever it said. Only a response on a new connection shows that the service is within reach again. */
export function recordServerResponse (state: ReachState, service: string, connection: ConnectionAge): ReachChange | undefined {
  const reach = state.services.get(service)
  if (reach === undefined) return undefined
  if (connection === ConnectionAge.Used && reach.outOfReachSince !== undefined) {
    reach.openConnectionsRespond = true
    return undefined
  }
  state.services.delete(service)
  return reach.outOfReachSince === undefined ? undefined : ReachChange.Regained
}

/** Records that a server accepted no connection, or did not respond in time to a request that it answers at once. */
export function recordServerSilence (state: ReachState, { service, server, connection, servers, now }: RecordSilenceOptions): ReachChange | undefined {
  const reach = state.services.get(service) ?? { silentServers: new Set(), outOfReachSince: undefined, openConnectionsRespond: true }
  state.services.set(service, reach)
  if (connection === ConnectionAge.Used) reach.openConnectionsRespond = false
  if (reach.outOfReachSince !== undefined) return undefined
  reach.silentServers.add(server)
  if (reach.silentServers.size < Math.min(decisiveServers, Math.max(1, servers))) return undefined
  reach.outOfReachSince = now
  reach.silentServers.clear()
  return ReachChange.Lost
}

/** Forgets a service, for example if it has no servers any more. */
export function forgetService (state: ReachState, service: string): void {
  state.services.delete(service)
}

/** Whether new connections reach no server of the service. */
export function isOutOfReach (state: ReachState, service: string): boolean {
  return state.services.get(service)?.outOfReachSince !== undefined
}

/** Whether connections to servers of the service that are still open can be used. */
export function mayUseOpenConnections (state: ReachState, service: string): boolean {
  return state.services.get(service)?.openConnectionsRespond ?? true
}

/** Lists the services that are out of reach. */
export function listOutOfReach (state: ReachState): Array<{ service: string, since: number }> {
  return [...state.services].flatMap(([service, { outOfReachSince }]) => outOfReachSince === undefined ? [] : [{ service, since: outOfReachSince }])
}
