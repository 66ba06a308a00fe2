// Selects the servers of a large service that one entry host uses. Weighted rendezvous hashing gives each
// pair of host and server a fixed score, so a change of one server or host affects only the selections that
// involve it, without coordination between hosts. Runs on configuration changes, not on the request path.
import { hashText } from '@siskinbeam/random/hashText'

// Round trip at which a server has half the weight of one in the same data centre.
const halfWeightRoundTripMilliseconds = 5
// Minimum weight of servers in remote data centres relative to local ones. It keeps them in use by some hosts,
// and leaves each host with servers if a data centre fails.
const minimumWeight = 0.25

/** The properties of a server that subset selection uses. */
export interface SubsetServer {
  name: string
  dataCentre: string
}

export interface ChooseSubsetOptions<Server extends SubsetServer> {
  /** Identifies the entry host. Use its name rather than its boot ID, so that the subset survives a restart. */
  hostSeed: string
  servers: readonly Server[]
  size: number
  /** Returns the round trip from this host's data centre to the given one in milliseconds; 0 for its own. */
  readRoundTripMilliseconds: (dataCentre: string) => number
}

/** Selects at most `size` servers, regardless of the order of `servers`. */
export function chooseSubset<Server extends SubsetServer> ({ hostSeed, servers, size, readRoundTripMilliseconds }: ChooseSubsetOptions<Server>): Server[] {
  if (servers.length <= size) return [...servers]
  const seed = hashText(hostSeed, 0)
  return servers
    .map(server => ({ server, score: scoreServer(seed, server, readRoundTripMilliseconds(server.dataCentre)) }))
    .sort((first, second) => first.score - second.score || (first.server.name < second.server.name ? -1 : 1))
    .slice(0, size)
    .map(({ server }) => server)
}

// An exponential variate with rate `weight`: the minimum over all servers falls on each with probability proportional to its weight.
function scoreServer (seed: number, { name }: SubsetServer, roundTripMilliseconds: number): number {
  const weight = Math.max(minimumWeight, 1 / (1 + roundTripMilliseconds / halfWeightRoundTripMilliseconds))
  const uniform = (hashText(name, seed) + 0.5) / 0x1_0000_0000
  return -Math.log(uniform) / weight
}
