// Chooses the server for one send: asks a few for their load and takes the one that would answer first.
import { chooseAsked } from '@siskinbeam/server-ranking/chooseAsked'
import { readFullnessFactor } from '@siskinbeam/server-ranking/fullnessFactor'
import { rankServers, type RankedServer, type ServerView } from '@siskinbeam/server-ranking/rankServers'
import { askServers, type AskedServer } from '../servers/askServers.js'
import type { ServerLink } from '../servers/serverLink.js'
import type { GuestExchange } from './guestExchange.js'

export interface ChooseServerOptions {
  exchange: GuestExchange
  /** Servers that this request was sent to before. */
  tried: ReadonlySet<ServerLink>
  workMilliseconds: number
  rounds: number
}

/** Servers whose work would take longer than this share beyond the usual are worth another round. */
const acceptableSlowdown = 1.6

/** Gives the best server that answered, or undefined if none did. */
export async function chooseServer (options: ChooseServerOptions): Promise<RankedServer<AskedServer> | undefined> {
  const { exchange, tried, workMilliseconds } = options
  const { host } = exchange
  const healthPath = host.routes()?.findService(exchange.service)?.healthPath ?? '/'
  const asked = new Set<ServerLink>(tried)

  const askRound = async (round: number, answered: AskedServer[]): Promise<RankedServer<AskedServer> | undefined> => {
    const now = host.now()
    const candidates = host.links.listService(exchange.service)
      .filter(link => link.acceptsWork() && !asked.has(link))
      .map(link => ({ link, sameDataCentre: link.server.dataCentre === host.settings.dataCentre, preferred: link.preferred, avoided: link.avoidedUntil > now }))
    const links = chooseAsked({ candidates, round, random: host.random }).map(({ link }) => link)
    links.forEach(link => asked.add(link))
    const answers = await askServers({ links, healthPath, now: host.now, onAsked: outcome => host.metrics.count(`questions_total{outcome="${outcome}"}`) })
    const all = [...answered, ...answers].filter(({ link }) => link.acceptsWork())
    const best = rankAsked(all, exchange, workMilliseconds)
    const good = best !== undefined && best.hasRoom && best.estimate <= acceptableSlowdown * workMilliseconds
    if (good || links.length === 0 || round + 1 >= options.rounds || exchange.finished) return best
    return askRound(round + 1, all)
  }
  return askRound(0, [])
}

function rankAsked (answers: AskedServer[], exchange: GuestExchange, workMilliseconds: number): RankedServer<AskedServer> | undefined {
  const { host } = exchange
  const now = host.now()
  const healthy = answers.filter(answer => answer.healthy)
  const views = (healthy.length > 0 ? healthy : answers).map(server => ({ server, view: describeServer(server, exchange, now) }))
  return rankServers(views, workMilliseconds)[0]
}

function describeServer ({ link, load, inFlightWhenAsked }: AskedServer, { host, service }: GuestExchange, now: number): ServerView {
  return {
    load,
    unreported: Math.max(0, link.inFlight - inFlightWhenAsked),
    sameDataCentre: link.server.dataCentre === host.settings.dataCentre,
    cold: link.coldUntil > now,
    failureShare: link.failureShare,
    fullnessFactor: readFullnessFactor(host.fullnessOf(service))
  }
}
