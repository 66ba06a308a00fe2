// How a host that starts finds the others of its data centre: by the seeds, and by the store if no seed
// answers. Calls to the store cost more than calls between hosts, and all hosts may start at once.

/** What a starting host does next. */
export enum JoinStep {
  /** Follows the first of the hosts that it knows, or watches if it comes first itself. */
  Joined = 'joined',
  AskSeeds = 'ask-seeds',
  ReadStore = 'read-store'
}

export interface JoinProgress {
  /** Other hosts of the data centre that are known. */
  knownHosts: number
  otherSeeds: number
  /** Whether some other seed answered. */
  seedAnswered: boolean
  isSeed: boolean
  storeRead: boolean
  elapsedMilliseconds: number
}

/** Hosts that start together are up within this time of each other. */
const seedsStartMilliseconds = 1_000
/** A seed whose fellow seeds do not answer starts alone, since those that start later ask it. */
const loneSeedMilliseconds = 400

/** Decides on the next step. A host that nobody knows of watches by itself. */
export function decideJoin ({ knownHosts, otherSeeds, seedAnswered, isSeed, storeRead, elapsedMilliseconds }: JoinProgress): JoinStep {
  if (knownHosts > 0 || seedAnswered || storeRead) return JoinStep.Joined
  if (isSeed && (otherSeeds === 0 || elapsedMilliseconds >= loneSeedMilliseconds)) return JoinStep.Joined
  return otherSeeds > 0 && elapsedMilliseconds < seedsStartMilliseconds ? JoinStep.AskSeeds : JoinStep.ReadStore
}
