// Follows the host that watches the store for this data centre (the source), or makes this host the source. A source
// that does not respond, or whose calls to the store fail, is excluded from the choice for a while, and is asked beside the
// current source before it is followed again. A host that hears from no source reads the store by itself, so that the age of what it knows
// is bounded whatever the other hosts do.
import { fromPromise, sleep, take, type ProcessBody } from '@siskinbeam/processes/channels'
import { sample } from '@siskinbeam/random/createRandom'
import { silenceMilliseconds } from '@siskinbeam/watch-duty/sourceProbes'
import { chooseSource, isInDoubt, listFirstHosts, recordSourceFailure, recordSourceSuccess, SourceFailure, type SourceSelectionState, type KnownHost } from '@siskinbeam/watch-duty/sourceSelection'
import type { PlatformHost } from '../platformHost.js'
import type { PeerClient } from './peerClient.js'
import type { SyncReply } from './peerMessages.js'
import { probeNextSources } from './probeNextSources.js'

export interface FollowSourceOptions {
  host: PlatformHost
  sourceSelection: SourceSelectionState
  peerClient: PeerClient
  watch: { confirmedAt: () => number, failingSince: () => number | undefined, readOnce: () => Promise<boolean> }
  hasJoined: () => boolean
}

export interface SourceFollower {
  /** Whether this host has chosen itself as the source. */
  isOwnSource: () => boolean
  /** Name of the current source, which may be this host. */
  source: () => string
  /** When the view was last confirmed to match the store, at the earliest. */
  confirmedAt: () => number
  /** Announces this host's current state to its source, or to the first other hosts if it is its own source. */
  announce: () => Promise<void>
  /** Body of the background process that follows the source. */
  run: () => ProcessBody
  /** Body of the background process that reads the store if no source is heard. */
  runOwnReads: () => ProcessBody
}

/** Timeout after which the source answers a long poll without changes. */
const longPollMilliseconds = 400
/** Timeout of the first long poll after a silence, in which a host begins to watch the store. */
const firstPollMilliseconds = 150
/** Minimum interval between calls, so that changes in quick succession are fetched together. */
const callIntervalMilliseconds = 25
/** Time that a new source has to catch up with the store. */
const catchUpMilliseconds = 700
/** A source is rejected if its calls to the store have failed for longer than this. */
const failureToleranceMilliseconds = 120
/** An older view counts as out of date; a long poll of the store takes up to two seconds. */
const maximumAgeMilliseconds = 2_900
const ownCheckMilliseconds = 100
/** A host that has heard no source for longer reads the store by itself; changes have to be in force within two seconds. */
const maximumSilenceMilliseconds = 1_300
/** Interval of reads by a host that can't reach the store. */
const failedReadIntervalMilliseconds = 3_000
/** A host that has just started is held to the bounds only later, and the first replies take longer while many start. */
const startMilliseconds = 1_800
/** A host whose processes stood still for longer has heard nothing for that reason. */
const standstillMilliseconds = 500
/** Interval of calls to seeds while the view is out of date because the whole data centre has lost the store. */
const seedSyncIntervalMilliseconds = 700
const maximumAnnouncements = 8

/** Creates the follower. Times are in milliseconds of the monotonic clock. */
export function followSource ({ host, sourceSelection, peerClient, watch, hasJoined }: FollowSourceOptions): SourceFollower {
  const { now, logger, settings } = host
  let source: KnownHost = sourceSelection.own
  let sourceSince = now()
  let confirmedAt = -Infinity
  let syncedWithSeedAt = now()
  let announced = false
  let hasChosen = false
  let heardAt = now()
  let pollMilliseconds = longPollMilliseconds
  const asking = new Set<string>()

  const ask = async ({ name, peerAddress }: KnownHost): Promise<boolean> =>
    await peerClient.sync({ address: peerAddress, name, waitMilliseconds: 0, follows: false }) !== undefined

  /** Asks a host that failed before, beside the current source. */
  const askAgain = (candidate: KnownHost): void => {
    if (asking.has(candidate.name)) return
    asking.add(candidate.name)
    ask(candidate).catch(() => false).then(hasAnswered => {
      asking.delete(candidate.name)
      if (hasAnswered) recordSourceSuccess(sourceSelection, candidate.name)
      else rejectSource(candidate.name, SourceFailure.Unresponsive, 'no response when asked again')
    }).catch((error: unknown) => logger.warn('asking a source again failed', { reason: String(error) }))
  }

  const selectSource = (): void => {
    const chosen = chooseSource(sourceSelection, source, now())
    const isOwnOrCurrent = chosen.name === source.name || chosen.name === settings.host
    if (!hasChosen || isOwnOrCurrent || !isInDoubt(sourceSelection, chosen.name) || isInDoubt(sourceSelection, source.name)) setSource(chosen)
    else askAgain(chosen)
    hasChosen = true
  }

  const announce = async (): Promise<void> => {
    const others = [...sourceSelection.hosts.values()].filter(({ name }) => name !== settings.host)
    const recipients = source.name === settings.host ? listFirstHosts(others, maximumAnnouncements) : [source]
    await Promise.all(recipients.map(({ name, peerAddress }) => peerClient.sync({ address: peerAddress, name, waitMilliseconds: 0, follows: false })))
  }

  /** Announces a new source once: any other host that watches the store learns of this host and passes it on to its followers. */
  const announceOnce = (): void => {
    if (announced) return
    announced = true
    announce().catch((error: unknown) => logger.warn('host announcement failed', { reason: String(error) }))
  }

  const setSource = (next: KnownHost): void => {
    if (next.name === source.name && next.peerAddress === source.peerAddress) return
    logger.info('source changed', { from: source.name, to: next.name, ageMilliseconds: Math.round(now() - confirmedAt) })
    source = next
    sourceSince = now()
  }

  const rejectSource = (name: string, failure: SourceFailure, reason: string): void => {
    logger.warn('source passed over', { source: name, reason })
    recordSourceFailure(sourceSelection, name, failure, now())
  }

  const checkOwnWatch = (): void => {
    confirmedAt = Math.max(confirmedAt, watch.confirmedAt())
    const failingSince = watch.failingSince()
    const isFailing = failingSince !== undefined && now() - failingSince > failureToleranceMilliseconds
    if (isFailing) rejectSource(sourceSelection.own.name, SourceFailure.OutOfDate, 'calls of this host to the store fail')
    else if (failingSince === undefined) recordSourceSuccess(sourceSelection, sourceSelection.own.name)
  }

  const checkReply = (reply: SyncReply, from: KnownHost, calledAt: number): void => {
    heardAt = now()
    // The reply may have been on its way for as long as the call took. An age that is too high does no harm.
    if (reply.ageMilliseconds >= 0) confirmedAt = Math.max(confirmedAt, calledAt - reply.ageMilliseconds)
    const hadTimeToCatchUp = now() - sourceSince > catchUpMilliseconds
    const isOutOfDate = reply.ageMilliseconds < 0 || reply.ageMilliseconds > maximumAgeMilliseconds
    if (reply.failingMilliseconds > failureToleranceMilliseconds) rejectSource(from.name, SourceFailure.OutOfDate, 'calls of the source to the store fail')
    else if (hadTimeToCatchUp && isOutOfDate) rejectSource(from.name, SourceFailure.OutOfDate, 'view of the source is out of date')
    else if (hadTimeToCatchUp) recordSourceSuccess(sourceSelection, from.name)
  }

  /** Syncs with a random seed. Some seeds are in other data centres and may reach the store when no host of this one can. */
  const syncWithSeed = (): void => {
    if (now() - confirmedAt < maximumAgeMilliseconds || now() - syncedWithSeedAt < seedSyncIntervalMilliseconds) return
    syncedWithSeedAt = now()
    const seeds = host.settings.seedPeers.filter(address => address !== settings.peerAddress && address !== source.peerAddress)
    sample(host.random, seeds, 1).forEach(address => {
      peerClient.sync({ address, name: 'seed', waitMilliseconds: 0, follows: false }).catch((error: unknown) => logger.warn('sync with seed failed', { address, reason: String(error) }))
    })
  }

  function * run (): ProcessBody {
    for (;;) {
      if (!hasJoined()) {
        yield sleep(callIntervalMilliseconds)
        continue
      }
      selectSource()
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
      const probes = probeNextSources({ sourceSelection, logger, now, ask }, from)
      const settled: { value?: SyncReply } = yield take(fromPromise(peerClient.sync({ address: from.peerAddress, name: from.name, waitMilliseconds: pollMilliseconds, follows: true })))
      pollMilliseconds = longPollMilliseconds
      if (settled.value !== undefined) checkReply(settled.value, from, calledAt)
      else {
        rejectSource(from.name, SourceFailure.Unresponsive, 'no response')
        pollMilliseconds = firstPollMilliseconds
        // A source that ends its connections is silent for no time, and the next one is called at once.
        if (now() - calledAt > silenceMilliseconds) {
          const silent: { value?: KnownHost[] } = yield take(fromPromise(probes.findSilent()))
          silent.value?.forEach(({ name }) => rejectSource(name, SourceFailure.Unresponsive, 'no response beside a silent source'))
        }
      }
      probes.stop()
      if (now() - calledAt < callIntervalMilliseconds) yield sleep(callIntervalMilliseconds)
    }
  }

  function * runOwnReads (): ProcessBody {
    let checkedAt = now()
    let readAt = -Infinity
    let intervalMilliseconds = maximumSilenceMilliseconds
    for (;;) {
      yield sleep(ownCheckMilliseconds)
      const stoodStill = now() - checkedAt > standstillMilliseconds
      checkedAt = now()
      const isStarting = checkedAt - host.startedAt < startMilliseconds
      if (!hasChosen || isStarting || stoodStill || source.name === settings.host) heardAt = checkedAt
      if (checkedAt - heardAt < maximumSilenceMilliseconds || checkedAt - readAt < intervalMilliseconds) continue
      readAt = checkedAt
      logger.warn('no source heard', { source: source.name, milliseconds: Math.round(checkedAt - heardAt) })
      const settled: { value?: boolean } = yield take(fromPromise(watch.readOnce()))
      intervalMilliseconds = settled.value === true ? maximumSilenceMilliseconds : failedReadIntervalMilliseconds
      checkedAt = now()
    }
  }

  return {
    isOwnSource: () => hasChosen && source.name === settings.host,
    source: () => source.name,
    confirmedAt: () => confirmedAt,
    announce,
    run,
    runOwnReads
  }
}
