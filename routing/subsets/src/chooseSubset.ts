// The servers of a large service that one entry host uses. Weighted rendezvous hashing gives every pair
// of host and server a fixed score, so a change of one server or one host moves only the choices that
// involve it, and hosts agree on nothing. Runs when the configuration changes, not on the request path.
import { hashText } from '@siskinbeam/random/hashText'

// At this round trip a server weighs half as much as one in the same data centre.
const halfWeightRoundTripMilliseconds = 5
// Servers of far data centres keep this share of the weight of near ones, so that they stay in use by
// somebody and the loss of a data centre leaves a host with servers.
const lowestWeight = 0.25

/** What the choice needs to know of a server. */
export interface SubsetServer {
  name: string
  dataCentre: string
}

export interface ChooseSubsetOptions<Server extends SubsetServer> {
  /** Identifies the entry host; its name, not its boot, so that a restart keeps the subset. */
  hostSeed: string
  servers: readonly Server[]
  size: number
  /** Round trip from this host's data centre to the one named, 0 for its own. */
  readRoundTripMilliseconds: (dataCentre: string) => number
}

/** Chooses at most `size` servers. The order of the servers given has no influence. */
export function chooseSubset<Server extends SubsetServer> ({ hostSeed, servers, size, readRoundTripMilliseconds }: ChooseSubsetOptions<Server>): Server[] {
  if (servers.length <= size) return [...servers]
  const seed = hashText(hostSeed, 0)
  return servers
    .map(server => ({ server, score: scoreServer(seed, server, readRoundTripMilliseconds(server.dataCentre)) }))
    .sort((first, second) => first.score - second.score || (first.server.name < second.server.name ? -1 : 1))
    .slice(0, size)
    .map(({ server }) => server)
}

// The least of exponential draws with rates w is taken with probability proportional to w.
function scoreServer (seed: number, { name }: SubsetServer, roundTripMilliseconds: number): number {
  const weight = Math.max(lowestWeight, 1 / (1 + roundTripMilliseconds / halfWeightRoundTripMilliseconds))
  const uniform = (hashText(name, seed) + 0.5) / 0x1_0000_0000
  return -Math.log(uniform) / weight
}
