// Chooses the server for a first or repeated send. Servers without a limit come first. A server that has named a limit gets a request
// if the others have no room, or if its latest response is so old that the limit may have ended. Such a request is sent without a
// probe, since both would count toward the limit.
import type { RankedServer } from '@siskinbeam/server-ranking/rankServers'
import type { PermitResult } from '../dataCentre/permits.js'
import type { ProbedServer } from '../servers/probeServers.js'
import type { ServerEndpoint } from '../servers/serverEndpoint.js'
import { chooseProbedServer, describeUnprobed, isGoodEnough, rankProbed, type ChooseProbedServerOptions } from './chooseProbedServer.js'
import type { GuestExchange } from './guestExchange.js'

export interface ServerChoice {
  /** Undefined if no server can take the request now. */
  choice: RankedServer<ProbedServer> | undefined
  /** If servers at their limit are the reason: time until one of them may take the request. */
  retryAfterMilliseconds: number | undefined
}

/** Age of the latest response of a limited server from which a request is sent to it, to see whether the limit has ended. Requests that can be repeated go first. */
const trialAgeMilliseconds = { repeatable: 1_000, other: 3_000 }
/** Usually, the owner of the permits tries servers. Other hosts do if that has brought no news for this many times as long. */
const otherHostsFactor = 10
/** Part of the remaining time that a request may wait for a permit, so that enough is left to be served elsewhere. */
const maximumWaitRatio = 0.2

/** Chooses the server. */
export async function chooseServer (options: ChooseProbedServerOptions): Promise<ServerChoice> {
  const { exchange, tried, serviceTimeMilliseconds } = options
  if (options.onlyAddress !== undefined) return { choice: await chooseProbedServer(options), retryAfterMilliseconds: undefined }
  const due = exchange.sends === 0 ? listLimited(exchange, tried).find(endpoint => isTrialDue(endpoint, exchange)) : undefined
  const trial = due === undefined ? undefined : await choosePermitted(options, due)
  if (trial?.choice !== undefined) return trial
  const probed = await chooseProbedServer(options)
  if (isGoodEnough(probed, serviceTimeMilliseconds) || exchange.finished) return { choice: probed, retryAfterMilliseconds: undefined }
  // A retry takes no permit that a first send could use, unless nothing else is left for it.
  const mayTakePermit = (exchange.sends === 0 || probed === undefined) && listLimited(exchange, tried).length > 0
  const limited = mayTakePermit ? await choosePermitted(options) : undefined
  const choice = limited?.choice ?? probed
  return { choice, retryAfterMilliseconds: choice === undefined ? limited?.retryAfterMilliseconds : undefined }
}

function isTrialDue ({ server }: ServerEndpoint, { host, route, service }: GuestExchange): boolean {
  const age = host.now() - (host.limitedServers.find(server)?.at ?? Infinity)
  const wantedAge = route?.idempotent === true ? trialAgeMilliseconds.repeatable : trialAgeMilliseconds.other
  return age > wantedAge * (host.permits.isOwner(service) ? 1 : otherHostsFactor)
}

function listLimited ({ host, service }: GuestExchange, tried: ReadonlySet<ServerEndpoint>): ServerEndpoint[] {
  const now = host.now()
  return host.endpoints.listService(service).filter(endpoint => endpoint.acceptsRequests() && host.noticedServers.isAvailable(endpoint.server) && endpoint.backoffUntil <= now && !tried.has(endpoint) && host.limitedServers.find(endpoint.server) !== undefined)
}

/** Takes a permit of any limited server, or of the one that is wanted, and waits until it is due. */
async function choosePermitted ({ exchange, tried, serviceTimeMilliseconds }: ChooseProbedServerOptions, wanted?: ServerEndpoint): Promise<ServerChoice> {
  const { host, service, route } = exchange
  const remainingMilliseconds = exchange.deadlineAt - host.now()
  const result = await host.permits.take({
    service,
    excluded: host.endpoints.listService(service).filter(endpoint => tried.has(endpoint) || endpoint.backoffUntil > host.now() || !host.noticedServers.isAvailable(endpoint.server)).map(({ server }) => host.limitedServers.keyOf(server)),
    server: wanted?.server,
    waitMilliseconds: wanted === undefined ? Math.max(0, maximumWaitRatio * (remainingMilliseconds - serviceTimeMilliseconds)) : 0,
    isUrgent: exchange.sends === 0 && route !== undefined && host.routes()?.isLessImportant(route, service) !== true
  })
  if (!result.granted) return { choice: undefined, retryAfterMilliseconds: result.retryAfterMilliseconds }
  return { choice: await awaitPermit(exchange, result, serviceTimeMilliseconds), retryAfterMilliseconds: undefined }
}

async function awaitPermit (exchange: GuestExchange, { server, delayMilliseconds }: Extract<PermitResult, { granted: true }>, serviceTimeMilliseconds: number): Promise<RankedServer<ProbedServer> | undefined> {
  const { host, service } = exchange
  if (delayMilliseconds > 0) await new Promise(resolve => setTimeout(resolve, delayMilliseconds))
  const endpoint = host.endpoints.listService(service).find(each => each.server.id === server.id && each.acceptsRequests() && host.noticedServers.isAvailable(each.server))
  if (endpoint === undefined || exchange.finished) return undefined
  // A server within its limit is expected to start a request at once.
  const unprobed = describeUnprobed(endpoint, host.now())
  return rankProbed([{ ...unprobed, load: { ...unprobed.load, running: 0 } }], exchange, serviceTimeMilliseconds)
}
