// The hosts that may forward requests for this one: those of the own data centre, which it knows anyway, and while it is cut off from servers
// also hosts of other data centres. It asks seeds for them, then the hosts that these name, and reads the store if nobody answers.
import type { Logger } from '@siskinbeam/logging/createLogger'
import { createLearnedPeers, learnPeers, listLearnedPeers } from '@siskinbeam/peer-forwarding/learnedPeers'
import type { PeerHost } from '@siskinbeam/peer-forwarding/peerChoice'
import { isAddress } from '@siskinbeam/platform-adapter/isAddress'
import { sample, type Random } from '@siskinbeam/random/createRandom'
import type { Member } from '../dataCentre/peerMessages.js'

export interface PeerDirectory {
  /** Lists the hosts that may be asked. */
  list: () => PeerHost[]
  /** Number of live hosts of the own data centre. */
  countLocal: () => number
  /** Asks for hosts of other data centres unless that was done shortly before. Calls at the same time share the result. */
  refresh: () => Promise<void>
}

export interface CreatePeerDirectoryOptions {
  host: string
  dataCentre: string
  dataCentres: readonly string[]
  peerAddress: string
  seedPeers: () => readonly string[]
  listMembers: () => Member[]
  /** Asks a host for hosts that may forward requests. Resolves with undefined if it does not answer. */
  requestPeers: (address: string) => Promise<unknown>
  /** Reads the entry hosts of a data centre that are known to the store. */
  readFromStore: (dataCentre: string) => Promise<PeerHost[]>
  logger: Logger
  random: Random
  now: () => number
}

/** Hosts that were learned of are forgotten later than the next time they are asked for. */
const refreshMilliseconds = 4_000
/** The store is read at most this often; its calls have a price. */
const storeReadMilliseconds = 5_000
/** Hosts of other data centres that are asked for their own lists, since seeds may be gone or cut off themselves. */
const maximumFurtherHosts = 4

/** Creates a directory that knows the own data centre only. */
export function createPeerDirectory (options: CreatePeerDirectoryOptions): PeerDirectory {
  const { now, random } = options
  const learned = createLearnedPeers()
  let refreshedAt = -Infinity
  let readAt = -Infinity
  let pending: Promise<void> | undefined

  const learn = (hosts: unknown): PeerHost[] => {
    const valid = (Array.isArray(hosts) ? hosts : []).filter(isPeerHost).filter(({ name, dataCentre }) => name !== options.host && dataCentre !== options.dataCentre)
    learnPeers(learned, valid, now())
    return valid
  }
  const askEach = async (addresses: readonly string[]): Promise<PeerHost[]> =>
    (await Promise.all(addresses.filter(address => address !== options.peerAddress).map(options.requestPeers))).flatMap(learn)

  const readFromStore = async (): Promise<void> => {
    if (now() - readAt < storeReadMilliseconds) return
    readAt = now()
    const others = options.dataCentres.filter(name => name !== options.dataCentre)
    await Promise.all(others.map(async name => learn(await options.readFromStore(name))))
  }

  const askOthers = async (): Promise<void> => {
    const seeds = options.seedPeers()
    const named = await askEach(seeds)
    const further = sample(random, [...named, ...listLearnedPeers(learned, now())].map(({ peerAddress }) => peerAddress).filter(address => !seeds.includes(address)), maximumFurtherHosts)
    await askEach([...new Set(further)])
    if (listLearnedPeers(learned, now()).length === 0 && options.dataCentres.length > 1) await readFromStore()
    options.logger.info('hosts of other data centres asked for', { learned: listLearnedPeers(learned, now()).length })
  }

  return {
    list: () => [
      ...options.listMembers().filter(({ name, ready }) => ready && name !== options.host).map(({ name, dataCentre, peerAddress, isCutOff }) => ({ name, dataCentre, peerAddress, isCutOff: isCutOff === true })),
      ...listLearnedPeers(learned, now())
    ],
    countLocal: () => options.listMembers().length,
    refresh: () => {
      if (now() - refreshedAt < refreshMilliseconds) return pending ?? Promise.resolve()
      refreshedAt = now()
      pending = askOthers()
        .catch((error: unknown) => options.logger.warn('asking for hosts of other data centres failed', { reason: String(error) }))
        .finally(() => { pending = undefined })
      return pending
    }
  }
}

function isPeerHost (value: unknown): value is PeerHost {
  const { name, dataCentre, peerAddress, isCutOff } = (value ?? {}) as Partial<PeerHost>
  return typeof name === 'string' && typeof dataCentre === 'string' && isAddress(peerAddress) && typeof isCutOff === 'boolean'
}
