// Which servers are asked for their load before a send. A few at random suffice: asking two or three
// removes most of the wait, and random picks keep hosts from choosing the same server at once.
import { sample, type Random } from '@siskinbeam/random/createRandom'

/** A server as far as the choice of whom to ask goes. */
export interface Candidate {
  sameDataCentre: boolean
  /** Whether it is one of the servers to which this host keeps connections. */
  preferred: boolean
  /** Passed over while others are left: it did not answer, or failed what it was sent. */
  avoided: boolean
}

export interface ChooseAskedOptions<Server extends Candidate> {
  candidates: Server[]
  /** The first round asks in the own data centre; later rounds ask everywhere. */
  round: number
  random: Random
}

/** Servers asked in a round. */
export const askedPerRound = 3

/** Chooses the servers to ask. */
export function chooseAsked<Server extends Candidate> ({ candidates, round, random }: ChooseAskedOptions<Server>): Server[] {
  const near = candidates.filter(({ sameDataCentre, avoided }) => sameDataCentre && !avoided)
  const far = candidates.filter(({ sameDataCentre, avoided }) => !sameDataCentre && !avoided)
  const last = candidates.filter(({ avoided }) => avoided)
  const groups = (round === 0 ? [near, far] : [[...near, ...far]])
    .flatMap(group => [group.filter(({ preferred }) => preferred), group.filter(({ preferred }) => !preferred)])
  return [...groups, last].reduce<Server[]>((asked, group) => [...asked, ...sample(random, group, askedPerRound - asked.length)], [])
}
