// Decides how a starting host discovers the other hosts of its data centre: through the seeds, or through the
// store if no seed answers. Calls to the store cost more than calls between hosts, and all hosts may start
// at the same time.

/** Next step of a starting host. */
export enum JoinStep {
  /** Discovery is complete: the host follows the first of the known hosts, or watches the store if it is the first itself. */
  Joined = 'joined',
  ContactSeeds = 'ask-seeds',
  ReadStore = 'read-store'
}

export interface JoinProgress {
  /** Number of other hosts of the data centre that are known. */
  knownHosts: number
  otherSeeds: number
  /** Whether any other seed answered. */
  seedAnswered: boolean
  isSeed: boolean
  storeRead: boolean
  elapsedMilliseconds: number
}

/** Hosts that are started together are up within this time of each other. */
const seedTimeoutMilliseconds = 1_000
/** A seed stops waiting for the other seeds after this time, because hosts that start later contact it. */
const seedPeerTimeoutMilliseconds = 400

/** Decides the next step. A host that finds no other host joins alone and watches the store itself. */
export function decideJoin ({ knownHosts, otherSeeds, seedAnswered, isSeed, storeRead, elapsedMilliseconds }: JoinProgress): JoinStep {
  if (knownHosts > 0 || seedAnswered || storeRead) return JoinStep.Joined
  if (isSeed && (otherSeeds === 0 || elapsedMilliseconds >= seedPeerTimeoutMilliseconds)) return JoinStep.Joined
  return otherSeeds > 0 && elapsedMilliseconds < seedTimeoutMilliseconds ? JoinStep.ContactSeeds : JoinStep.ReadStore
}
