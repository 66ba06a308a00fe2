// Chooses the server for one send: probes a few servers for their load and picks the one expected to respond first. Without a probe
// left in this host's share, it picks by what the host knows itself.
import { selectServersToProbe } from '@siskinbeam/server-ranking/selectServersToProbe'
import { computeSaturationSlowdown } from '@siskinbeam/server-ranking/saturationSlowdown'
import { rankServers, type RankedServer, type ServerView } from '@siskinbeam/server-ranking/rankServers'
import { ProbeConnections, probeServers, type ProbedServer } from '../servers/probeServers.js'
import type { ServerEndpoint } from '../servers/serverEndpoint.js'
import type { GuestExchange } from './guestExchange.js'

export interface ChooseProbedServerOptions {
  exchange: GuestExchange
  /** Servers that this request has already been sent to. */
  tried: ReadonlySet<ServerEndpoint>
  serviceTimeMilliseconds: number
  /** Address of the only server that is wanted; undefined if any will do. */
  onlyAddress?: string | undefined
  /** Which connections may be used; any by default. */
  connections?: ProbeConnections
  /** Whether to go on with rounds of probes although the service is out of reach. */
  insists?: boolean
  /** Maximum number of rounds of probes. */
  rounds: number
}

/** Another round of probes starts if the best estimate exceeds this multiple of the expected service time. */
const maximumSlowdown = 1.6

/** Whether a server has a free slot and is expected to take about as long as usual. */
export function isGoodEnough (choice: RankedServer<ProbedServer> | undefined, serviceTimeMilliseconds: number): boolean {
  return choice !== undefined && choice.hasFreeSlot && choice.adjustedEstimate <= maximumSlowdown * serviceTimeMilliseconds
}

/** Returns the best server that responded, or undefined if none did. Servers that have named a limit are not probed, as a probe counts toward it. */
export async function chooseProbedServer (options: ChooseProbedServerOptions): Promise<RankedServer<ProbedServer> | undefined> {
  const { exchange, tried, serviceTimeMilliseconds, connections = ProbeConnections.Any } = options
  const { host } = exchange
  const healthPath = host.routes()?.findService(exchange.service)?.healthPath ?? '/'
  const probed = new Set<ServerEndpoint>(tried)
  const mayBeSentTo = (endpoint: ServerEndpoint): boolean => endpoint.acceptsRequests() && host.noticedServers.isAvailable(endpoint.server) && host.limitedServers.find(endpoint.server) === undefined

  const probeRound = async (round: number, earlier: ProbedServer[]): Promise<RankedServer<ProbedServer> | undefined> => {
    const now = host.now()
    const candidates = host.endpoints.listService(exchange.service)
      .filter(endpoint => mayBeSentTo(endpoint) && endpoint.hasConnectionLeft() && (connections !== ProbeConnections.Open || endpoint.hasIdleConnection()) && !probed.has(endpoint) && (options.onlyAddress === undefined || endpoint.server.address === options.onlyAddress))
      .map(endpoint => ({ endpoint, sameDataCentre: endpoint.server.dataCentre === host.settings.dataCentre, preferred: endpoint.preferred, avoided: endpoint.backoffUntil > now }))
    const selected = selectServersToProbe({ candidates, round, random: host.random }).map(({ endpoint }) => endpoint)
    const endpoints = selected.slice(0, host.takeProbes(selected.length))
    if (endpoints.length === 0 && earlier.length === 0 && connections === ProbeConnections.Any) return rankProbed(selected.map(endpoint => describeUnprobed(endpoint, now)), exchange, serviceTimeMilliseconds)
    endpoints.forEach(endpoint => probed.add(endpoint))
    const results = await probeServers({ endpoints, connections, healthPath, now: host.now, limitedServers: host.limitedServers, noticedServers: host.noticedServers, serverDeaths: host.serverDeaths, reachedServers: host.reachedServers, onProbed: outcome => host.metrics.count(`questions_total{outcome="${outcome}"}`) })
    // A server may have named a limit or left in the response to its probe.
    const responsive = [...earlier, ...results].filter(({ endpoint }) => mayBeSentTo(endpoint))
    const best = rankProbed(responsive, exchange, serviceTimeMilliseconds)
    if (best === undefined) exchange.choiceLogFields = { probed: probed.size - tried.size, responded: responsive.length, rounds: round + 1, outOfReach: host.reachedServers.isOutOfReach(exchange.service) }
    if (isGoodEnough(best, serviceTimeMilliseconds) || endpoints.length === 0 || round + 1 >= options.rounds || exchange.finished) return best
    // Further rounds would cost the guest time. Other hosts may reach the servers.
    if (best === undefined && options.insists !== true && host.reachedServers.isOutOfReach(exchange.service)) return undefined
    return probeRound(round + 1, responsive)
  }
  return probeRound(0, [])
}

/** Describes a server whose load is not known but for the requests of this host. */
export function describeUnprobed (endpoint: ServerEndpoint, now: number): ProbedServer {
  return {
    endpoint,
    connection: undefined,
    load: { running: endpoint.inFlight, waiting: 0, slots: endpoint.server.slots, slowdown: 1 },
    isHealthy: true,
    probedAt: now,
    inFlightWhenProbed: endpoint.inFlight
  }
}

export function rankProbed (responsive: ProbedServer[], exchange: GuestExchange, serviceTimeMilliseconds: number): RankedServer<ProbedServer> | undefined {
  const { host } = exchange
  const now = host.now()
  const healthy = responsive.filter(server => server.isHealthy)
  const views = (healthy.length > 0 ? healthy : responsive).map(server => ({ server, view: describeServer(server, exchange, now) }))
  const targetLeftMilliseconds = (exchange.route?.targetLatencyMilliseconds ?? Infinity) - (now - exchange.receivedAt)
  return rankServers(views, { serviceTimeMilliseconds, isRepeatable: exchange.route?.idempotent === true, targetLeftMilliseconds })[0]
}

function describeServer ({ endpoint, load, inFlightWhenProbed }: ProbedServer, { host, service }: GuestExchange, now: number): ServerView {
  return {
    load,
    unreportedRequests: Math.max(0, endpoint.inFlight - inFlightWhenProbed),
    sameDataCentre: endpoint.server.dataCentre === host.settings.dataCentre,
    cold: endpoint.warmUpUntil > now,
    failureRatio: Math.max(endpoint.failureRatio, host.failureReports.readRatio(endpoint.server.id)),
    saturationSlowdown: computeSaturationSlowdown(host.saturationStateOf(service))
  }
}
