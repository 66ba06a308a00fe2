// Checks whether a service that was out of reach is within reach again, so that requests take the direct way soon after the links are back.
import { sample } from '@siskinbeam/random/createRandom'
import { fromPromise, sleep, take, type ProcessBody } from '@siskinbeam/processes/channels'
import type { PlatformHost } from '../platformHost.js'
import { ProbeConnections, probeServers } from './probeServers.js'
import { recordReachable, type ServerEndpoint } from './serverEndpoint.js'

const checkMilliseconds = 300
const idleMilliseconds = 100
/** Permits are scarce, and a host needs one for each check if all servers of a service name limits. */
const limitedCheckMilliseconds = 3_000
/** Servers checked at a time. */
const checkedServers = 2

/** Body of the background process that checks services out of reach. */
export function createReachChecks (host: PlatformHost): () => ProcessBody {
  let limitedCheckedAt = -Infinity
  /** A health check counts toward the limit of a server, so it needs a permit. That a connection is taken says nothing of the link behind it. */
  const chooseLimited = async (service: string, limited: ServerEndpoint[]): Promise<ServerEndpoint[]> => {
    if (limited.length === 0 || host.now() - limitedCheckedAt < limitedCheckMilliseconds) return []
    limitedCheckedAt = host.now()
    const [chosen] = sample(host.random, limited, 1)
    const permit = await host.permits.take({ service, excluded: [], server: chosen?.server, waitMilliseconds: 0, isUrgent: false })
    return permit.granted ? limited.filter(({ server }) => server.id === permit.server.id) : []
  }
  const checkService = async (service: string): Promise<void> => {
    const candidates = host.endpoints.listService(service).filter(endpoint => endpoint.acceptsRequests() && host.noticedServers.isAvailable(endpoint.server))
    const withRoom = candidates.filter(endpoint => endpoint.hasConnectionLeft())
    if (candidates.length === 0) {
      host.reachedServers.forgetService(service)
      return
    }
    const unlimited = withRoom.filter(({ server }) => host.limitedServers.find(server) === undefined)
    // A new connection could take the place of an idle one that still works.
    const withoutIdle = unlimited.filter(endpoint => !endpoint.hasIdleConnection())
    const chosen = unlimited.length === 0 ? await chooseLimited(service, withRoom.filter(({ server }) => host.limitedServers.find(server) !== undefined)) : sample(host.random, withoutIdle.length > 0 ? withoutIdle : unlimited, checkedServers)
    await probeServers({
      endpoints: chosen.slice(0, host.takeProbes(chosen.length)),
      connections: ProbeConnections.New,
      healthPath: host.routes()?.findService(service)?.healthPath ?? '/',
      now: host.now,
      limitedServers: host.limitedServers,
      noticedServers: host.noticedServers,
      serverDeaths: host.serverDeaths,
      reachedServers: host.reachedServers,
      onProbed: outcome => host.metrics.count(`questions_total{outcome="${outcome}"}`)
    })
    // The servers did not cause their failures, so they are not avoided for them.
    if (!host.reachedServers.isOutOfReach(service)) host.endpoints.listService(service).forEach(recordReachable)
  }
  return function * () {
    for (;;) {
      const services = host.reachedServers.listOutOfReach()
      if (services.length > 0) {
        yield take(fromPromise(Promise.all(services.map(checkService))))
        host.peerDirectory.refresh().catch(() => {})
      }
      host.peerLinks.closeUnused()
      yield sleep(services.length > 0 ? checkMilliseconds : idleMilliseconds)
    }
  }
}
