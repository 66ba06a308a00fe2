// Selects the servers that are probed for their load before a request is sent. A few random servers are enough:
// two or three probes remove most of the queueing time, and random selection keeps hosts from choosing the same
// server at the same time.
import { sample, type Random } from '@siskinbeam/random/createRandom'

/** The properties of a server that the selection uses. */
export interface Candidate {
  sameDataCentre: boolean
  /** Whether this host keeps connections to the server. */
  preferred: boolean
  /** Selected only if no other servers remain, because it did not respond to a probe or failed a request. */
  avoided: boolean
}

export interface SelectServersToProbeOptions<Server extends Candidate> {
  candidates: Server[]
  /** Round number from 0. Round 0 prefers servers in the own data centre; later rounds use all data centres. */
  round: number
  random: Random
}

/** Number of servers probed per round. */
export const serversPerRound = 3

/** Selects the servers to probe, at most `serversPerRound`. */
export function selectServersToProbe<Server extends Candidate> ({ candidates, round, random }: SelectServersToProbeOptions<Server>): Server[] {
  const local = candidates.filter(({ sameDataCentre, avoided }) => sameDataCentre && !avoided)
  const remote = candidates.filter(({ sameDataCentre, avoided }) => !sameDataCentre && !avoided)
  const lastResort = candidates.filter(({ avoided }) => avoided)
  const groups = (round === 0 ? [local, remote] : [[...local, ...remote]])
    .flatMap(group => [group.filter(({ preferred }) => preferred), group.filter(({ preferred }) => !preferred)])
  return [...groups, lastResort].reduce<Server[]>((selected, group) => [...selected, ...sample(random, group, serversPerRound - selected.length)], [])
}
