// Probes servers for their load on the connection that would carry the request. The load is only milliseconds old
// when the request is sent, and the probe verifies that the connection works, holds no bytes of an earlier exchange
// and leads to the intended server.
import { readResponseMetadata } from '@siskinbeam/platform-adapter/serverProtocol'
import { setTimeoutAfterPoll } from '@siskinbeam/processes/setTimeoutAfterPoll'
import type { ProbedLoad } from '@siskinbeam/server-ranking/rankServers'
import { ConnectionAge } from '@siskinbeam/server-reach/serverReach'
import { ContactPurpose, type LimitedServers } from './limitedServers.js'
import { ExchangeOutcome, LargeBody, type ExchangeResult, type ServerConnection } from './serverConnection.js'
import type { NoticedServers } from './noticedServers.js'
import type { ReachedServers } from './reachedServers.js'
import type { ServerDeaths } from './serverDeaths.js'
import { recordReachable, recordUnreachable, type ServerEndpoint } from './serverEndpoint.js'

/** A server that responded, with the connection to use. */
export interface ProbedServer {
  endpoint: ServerEndpoint
  /** Undefined if the server was chosen without a probe; an idle connection might be broken, so the request goes on a new one. */
  connection: ServerConnection | undefined
  load: ProbedLoad
  /** Whether the health check passed: the server accepts requests. */
  isHealthy: boolean
  /** When the response arrived, in milliseconds of the monotonic clock. */
  probedAt: number
  /** Requests of this host that were in flight when the server responded. */
  inFlightWhenProbed: number
}

export enum ProbeConnections {
  /** An idle one if there is one, otherwise a new one. */
  Any,
  /** Idle ones only. */
  Open,
  New
}

export interface ProbeServersOptions {
  endpoints: ServerEndpoint[]
  /** Which connections may be used. */
  connections: ProbeConnections
  healthPath: string
  now: () => number
  limitedServers: LimitedServers
  noticedServers: NoticedServers
  serverDeaths: ServerDeaths
  reachedServers: ReachedServers
  onProbed: (outcome: ExchangeOutcome) => void
}

/** A probe that takes longer counts as a failure of the server. */
const probeTimeoutMilliseconds = 250
/** The head of a response says all that a probe asks for. */
const acceptedBodyBytes = 16_384
/** Outcomes of a probe on a new connection of a server that has ended. */
const refusalOutcomes = new Set([ExchangeOutcome.NotSent, ExchangeOutcome.Broken])
/** How long to wait for further responses once a server with a free slot has responded. */
const additionalWaitMilliseconds = 5
/** How long to wait for more than one response; after that, the first one decides. */
const multipleResponseWaitMilliseconds = 120

/** Returns the servers that responded in time. Connections of later responses return to their pools. */
export function probeServers (options: ProbeServersOptions): Promise<ProbedServer[]> {
  if (options.endpoints.length === 0) return Promise.resolve([])
  return new Promise(resolve => {
    const probed: ProbedServer[] = []
    let pending = options.endpoints.length
    let additionalWait: NodeJS.Timeout | undefined
    let isWaitOver = false
    const finish = (): void => {
      clearTimeout(limit)
      clearTimeout(additionalWait)
      resolve(probed)
    }
    const limit = setTimeoutAfterPoll(() => {
      isWaitOver = true
      if (probed.length > 0) finish()
    }, multipleResponseWaitMilliseconds)
    const handleResult = (server: ProbedServer | undefined): void => {
      pending -= 1
      if (server !== undefined) probed.push(server)
      if (pending === 0 || (isWaitOver && server !== undefined)) finish()
      else if (server !== undefined && server.load.running < server.load.slots) additionalWait ??= setTimeout(finish, additionalWaitMilliseconds)
    }
    options.endpoints.forEach(endpoint => { probeServer(endpoint, options).then(handleResult, () => handleResult(undefined)) })
  })
}

async function probeServer (endpoint: ServerEndpoint, options: ProbeServersOptions): Promise<ProbedServer | undefined> {
  const connection = options.connections === ProbeConnections.New ? endpoint.openConnection() : endpoint.acquireConnection()
  const isReused = connection.wasUsed()
  const result = await runProbe(connection, endpoint, options)
  // A server may have closed an idle connection, or have sent bytes on it that belong to an earlier request.
  if (result.outcome === ExchangeOutcome.Broken && isReused && options.connections === ProbeConnections.Any) {
    const fresh = endpoint.openConnection()
    return readProbeResult(await runProbe(fresh, endpoint, options), { connection: fresh, age: ConnectionAge.New }, endpoint, options)
  }
  return readProbeResult(result, { connection, age: isReused ? ConnectionAge.Used : ConnectionAge.New }, endpoint, options)
}

async function runProbe (connection: ServerConnection, endpoint: ServerEndpoint, options: ProbeServersOptions): Promise<ExchangeResult<LargeBody.Refuse>> {
  options.limitedServers.recordContact(endpoint.server, ContactPurpose.HealthCheck)
  const sentAt = options.now()
  const result = await connection.runExchange({
    method: 'GET',
    path: options.healthPath,
    headers: ['Host', endpoint.server.address],
    body: undefined,
    timeoutMilliseconds: probeTimeoutMilliseconds,
    acceptedBodyBytes,
    largeBody: LargeBody.Refuse,
    isMatchingResponse: (status, headers) => {
      const metadata = readResponseMetadata(status, headers)
      return !metadata.signed && metadata.requestId === undefined
    }
  })
  options.onProbed(result.outcome)
  if (result.outcome === ExchangeOutcome.Responded) {
    const { limit, notices, serverId = endpoint.server.id } = readResponseMetadata(result.received.status, result.received.headers)
    if (serverId === endpoint.server.id) {
      options.limitedServers.recordResponse({ server: endpoint.server, purpose: ContactPurpose.HealthCheck, limit, sentAt, isConclusive: false })
      options.noticedServers.recordResponse(endpoint.server, notices, ContactPurpose.HealthCheck)
    }
  }
  return result
}

function readProbeResult (result: ExchangeResult<LargeBody.Refuse>, { connection, age }: { connection: ServerConnection, age: ConnectionAge }, endpoint: ServerEndpoint, options: ProbeServersOptions): ProbedServer | undefined {
  if (result.outcome !== ExchangeOutcome.Responded) {
    recordUnreachable(endpoint, options.now())
    // A connection that was idle may have been closed by the server, which says nothing of the others.
    if (age === ConnectionAge.New || result.outcome === ExchangeOutcome.TimedOut) options.reachedServers.recordSilence(endpoint, age)
    if (refusalOutcomes.has(result.outcome)) options.serverDeaths.recordRefusal(endpoint)
    return undefined
  }
  options.reachedServers.recordResponse(endpoint, age)
  const { status, headers } = result.received
  const metadata = readResponseMetadata(status, headers)
  if (metadata.serverId !== undefined && metadata.serverId !== endpoint.server.id) {
    recordUnreachable(endpoint, options.now())
    connection.close()
    return undefined
  }
  recordReachable(endpoint)
  const load = metadata.load ?? { running: endpoint.inFlight, waiting: 0, slots: endpoint.server.slots, slowdown: 1 }
  return { endpoint, connection, load, isHealthy: status === 200, probedAt: options.now(), inFlightWhenProbed: endpoint.inFlight }
}
