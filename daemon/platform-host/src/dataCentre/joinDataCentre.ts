// Discovers the other hosts of the data centre at startup and introduces this host to them. A host that watches the
// store continues to introduce itself to the seeds.
import { StoreOutcome, type StoreClient } from '@siskinbeam/platform-adapter/createStoreClient'
import { Table } from '@siskinbeam/platform-adapter/wire'
import { fromPromise, sleep, take, type ProcessBody } from '@siskinbeam/processes/channels'
import { decideJoin, JoinStep } from '@siskinbeam/watch-duty/decideJoin'
import { addHosts, type SourceSelectionState, type KnownHost } from '@siskinbeam/watch-duty/sourceSelection'
import type { PeerHost } from '@siskinbeam/peer-forwarding/peerChoice'
import { isAddress } from '@siskinbeam/platform-adapter/isAddress'
import type { PlatformHost } from '../platformHost.js'
import type { PeerClient } from './peerClient.js'

export interface JoinDataCentreOptions {
  host: PlatformHost
  sourceSelection: SourceSelectionState
  peerClient: PeerClient
  store: StoreClient
  /** Whether this host has chosen itself as the source. */
  isOwnSource: () => boolean
}

export interface DataCentreJoiner {
  hasJoined: () => boolean
  /** Writes the row of this host again if it is needed, after the store has lost it. */
  registerAgain: () => void
  /** Reads the hosts of a data centre that have watched the store. */
  readHostsOf: (dataCentre: string) => Promise<PeerHost[]>
  /** Body of the background process that joins and then repeats the introductions of a host that watches the store. */
  run: () => ProcessBody
}

/** Retry interval of calls to seeds. Hosts that lost power together start within a few intervals of each other and serve nothing until a seed responds. */
const seedRetryMilliseconds = 40
/** Hosts that missed each other at startup discover each other within this interval. */
const introductionIntervalMilliseconds = 3_000
/** A host that has watched the store for this long is likely to continue, which justifies the cost of a row in the store. */
const registrationDelayMilliseconds = 1_000
const sourcePollMilliseconds = 250

/** Creates the joiner. */
export function joinDataCentre ({ host, sourceSelection, peerClient, store, isOwnSource }: JoinDataCentreOptions): DataCentreJoiner {
  const { now, logger, settings } = host
  const startedAt = now()
  const otherSeeds = (): string[] => host.settings.seedPeers.filter(address => address !== settings.peerAddress)
  const isSeed = (): boolean => host.settings.seedPeers.includes(settings.peerAddress)
  let seedAnswered = false
  let storeRead = false
  let joined = false
  let registered = false

  /** Resolves as soon as another host is known, since a seed that lost power may not respond at all. */
  const introduceToSeeds = (): Promise<void> => new Promise((resolve, reject) => {
    const introductions = otherSeeds().map(async address => {
      if (!await peerClient.introduce(address)) return
      seedAnswered = true
      if (sourceSelection.hosts.size > 1) resolve()
    })
    Promise.all(introductions).then(() => resolve(), reject)
  })

  const readHosts = async (): Promise<void> => {
    const reply = await store.readTable(Table.EntryHosts, settings.dataCentre)
    storeRead = true
    if (reply.outcome === StoreOutcome.Done) {
      addHosts(sourceSelection, reply.rows.map(({ value }) => value).filter(isKnownHost))
    } else logger.warn('reading entry hosts failed', { outcome: reply.outcome, reason: reply.reason })
  }

  const readHostsOf = async (dataCentre: string): Promise<PeerHost[]> => {
    const reply = await store.readTable(Table.EntryHosts, dataCentre)
    if (reply.outcome !== StoreOutcome.Done) {
      logger.warn('reading entry hosts failed', { dataCentre, outcome: reply.outcome, reason: reply.reason })
      return []
    }
    return reply.rows.map(({ value }) => value).filter(isKnownHost).map(({ name, peerAddress }) => ({ name, dataCentre, peerAddress, isCutOff: false }))
  }

  const registerHost = async (): Promise<void> => {
    const { outcome } = await store.writeRows(Table.EntryHosts, settings.dataCentre, [{ key: settings.host, value: sourceSelection.own }])
    registered = outcome === StoreOutcome.Done
  }

  function * runJoin (): ProcessBody {
    for (;;) {
      const step = decideJoin({
        knownHosts: sourceSelection.hosts.size - 1, otherSeeds: otherSeeds().length, seedAnswered, isSeed: isSeed(), storeRead, elapsedMilliseconds: now() - startedAt
      })
      if (step === JoinStep.Joined) break
      yield take(fromPromise(step === JoinStep.ContactSeeds ? introduceToSeeds() : readHosts()))
      if (step === JoinStep.ContactSeeds && !seedAnswered) yield sleep(seedRetryMilliseconds)
    }
    joined = true
    logger.info('data centre joined', { knownHosts: sourceSelection.hosts.size - 1, seedAnswered, storeRead, milliseconds: Math.round(now() - startedAt) })
  }

  function * runIntroductions (): ProcessBody {
    let watchingSince = now()
    let introducedAt = now()
    for (;;) {
      yield sleep(sourcePollMilliseconds)
      if (!isOwnSource()) {
        watchingSince = now()
        continue
      }
      if (!registered && now() - watchingSince > registrationDelayMilliseconds) yield take(fromPromise(registerHost()))
      if (now() - introducedAt < introductionIntervalMilliseconds) continue
      introducedAt = now()
      yield take(fromPromise(introduceToSeeds()))
    }
  }

  return {
    hasJoined: () => joined,
    readHostsOf,
    registerAgain: () => { registered = false },
    run: function * () {
      if (!joined) yield * runJoin()
      yield * runIntroductions()
    }
  }
}

/** Whether a row describes a host; other programs may write rows as well. */
function isKnownHost (value: unknown): value is KnownHost {
  const { name, peerAddress, guestAddress, processorShare } = (value ?? {}) as Partial<KnownHost>
  return typeof name === 'string' && typeof processorShare === 'number' && [peerAddress, guestAddress].every(isAddress)
}
