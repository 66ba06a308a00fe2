// Keeps this host in touch with the host that watches the store for its data centre, or lets it watch
// itself. A source that does not answer, or whose own calls to the store fail, is passed over.
import { fromPromise, sleep, take, type ProcessBody } from '@siskinbeam/processes/channels'
import { sample } from '@siskinbeam/random/createRandom'
import { chooseSource, listFirstHosts, noteSourceFailed, noteSourceWorks, SourceFailure, type DutyState, type KnownHost } from '@siskinbeam/watch-duty/watchDuty'
import type { PlatformHost } from '../platformHost.js'
import type { PeerClient } from './peerClient.js'
import type { SyncReply } from './peerMessages.js'

export interface FollowSourceOptions {
  host: PlatformHost
  duty: DutyState
  calls: PeerClient
  watch: { confirmedAt: () => number, failingSince: () => number | undefined }
  hasJoined: () => boolean
}

export interface SourceFollower {
  /** Whether this host watches the store by its own choice. */
  isOwnSource: () => boolean
  /** Name of the host that this host follows. */
  source: () => string
  confirmedAt: () => number
  /** Tells the host that is followed, or the first others if there is none, of a change of this host. */
  announce: () => Promise<void>
  /** The body of the process that follows. */
  run: () => ProcessBody
}

/** A held call is answered after this time at the latest. */
const longPollMilliseconds = 400
/** News within this time of each other is asked for once. */
const callIntervalMilliseconds = 25
/** A new source gets this time to catch up with the store. */
const catchUpMilliseconds = 700
/** A source whose calls fail for longer is passed over. */
const failureToleranceMilliseconds = 120
/** A view that is older is not kept up to date any more: a call to the store waits two seconds. */
const maximumAgeMilliseconds = 2_900
const ownCheckMilliseconds = 100
/** A host whose whole data centre has lost the store asks elsewhere, this often. */
const seedSyncIntervalMilliseconds = 700
const maximumAnnouncements = 8

/** Creates the follower. */
export function followSource ({ host, duty, calls, watch, hasJoined }: FollowSourceOptions): SourceFollower {
  const { now, logger, settings } = host
  let source: KnownHost = duty.own
  let sourceSince = now()
  let confirmedAt = -Infinity
  let syncedWithSeedAt = now()
  let announced = false
  let hasChosen = false

  const announce = async (): Promise<void> => {
    const others = [...duty.hosts.values()].filter(({ name }) => name !== settings.host)
    const recipients = source.name === settings.host ? listFirstHosts(others, maximumAnnouncements) : [source]
    await Promise.all(recipients.map(({ name, peerAddress }) => calls.sync({ address: peerAddress, name, waitMilliseconds: 0, follows: false })))
  }

  /** A host that watches already hears of this one, and its followers hear of it from that host. */
  const announceOnce = (): void => {
    if (announced) return
    announced = true
    announce().catch((error: unknown) => logger.warn('host not announced', { reason: String(error) }))
  }

  const setSource = (next: KnownHost): void => {
    if (next.name === source.name && next.peerAddress === source.peerAddress) return
    logger.info('source changed', { from: source.name, to: next.name, ageMilliseconds: Math.round(now() - confirmedAt) })
    source = next
    sourceSince = now()
  }

  const rejectSource = (name: string, failure: SourceFailure, reason: string): void => {
    logger.warn('source passed over', { source: name, reason })
    noteSourceFailed(duty, name, failure, now())
  }

  const checkOwnWatch = (): void => {
    confirmedAt = Math.max(confirmedAt, watch.confirmedAt())
    const failingSince = watch.failingSince()
    const isFailing = failingSince !== undefined && now() - failingSince > failureToleranceMilliseconds
    if (isFailing) rejectSource(duty.own.name, SourceFailure.OutOfDate, 'own calls to the store fail')
    else if (failingSince === undefined) noteSourceWorks(duty, duty.own.name)
  }

  const checkReply = (reply: SyncReply, from: KnownHost): void => {
    if (reply.ageMilliseconds >= 0) confirmedAt = Math.max(confirmedAt, now() - reply.ageMilliseconds)
    const hadTimeToCatchUp = now() - sourceSince > catchUpMilliseconds
    const isOutOfDate = reply.ageMilliseconds < 0 || reply.ageMilliseconds > maximumAgeMilliseconds
    if (reply.failingMilliseconds > failureToleranceMilliseconds) rejectSource(from.name, SourceFailure.OutOfDate, 'its calls to the store fail')
    else if (hadTimeToCatchUp && isOutOfDate) rejectSource(from.name, SourceFailure.OutOfDate, 'its view is out of date')
    else if (hadTimeToCatchUp) noteSourceWorks(duty, from.name)
  }

  /** Seeds stand in other data centres too, and may reach the store when no host of this one does. */
  const syncWithSeed = (): void => {
    if (now() - confirmedAt < maximumAgeMilliseconds || now() - syncedWithSeedAt < seedSyncIntervalMilliseconds) return
    syncedWithSeedAt = now()
    const seeds = host.settings.seedPeers.filter(address => address !== settings.peerAddress && address !== source.peerAddress)
    sample(host.random, seeds, 1).forEach(address => {
      calls.sync({ address, name: 'seed', waitMilliseconds: 0, follows: false }).catch((error: unknown) => logger.warn('seed not asked', { address, reason: String(error) }))
    })
  }

  function * run (): ProcessBody {
    for (;;) {
      if (!hasJoined()) {
        yield sleep(callIntervalMilliseconds)
        continue
      }
      setSource(chooseSource(duty, source, now()))
      hasChosen = true
      syncWithSeed()
      if (source.name === settings.host) {
        announceOnce()
        checkOwnWatch()
        yield sleep(ownCheckMilliseconds)
        continue
      }
      announced = false
      const from = source
      const calledAt = now()
      const settled: { value?: SyncReply } = yield take(fromPromise(calls.sync({ address: from.peerAddress, name: from.name, waitMilliseconds: longPollMilliseconds, follows: true })))
      if (settled.value === undefined) rejectSource(from.name, SourceFailure.Silent, 'no answer')
      else checkReply(settled.value, from)
      if (now() - calledAt < callIntervalMilliseconds) yield sleep(callIntervalMilliseconds)
    }
  }

  return {
    isOwnSource: () => hasChosen && source.name === settings.host,
    source: () => source.name,
    confirmedAt: () => confirmedAt,
    announce,
    run
  }
}
