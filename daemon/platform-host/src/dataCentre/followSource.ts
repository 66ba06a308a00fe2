// Keeps this host in touch with the host that watches the store for its data centre, or lets it watch
// itself. A source that does not answer, or whose own calls to the store fail, is passed over.
import { createHttpSender, type HttpSender } from '@siskinbeam/clients/createHttpSender'
import type { StoreClient } from '@siskinbeam/platform-adapter/createStoreClient'
import { StoreOutcome } from '@siskinbeam/platform-adapter/createStoreClient'
import { Table } from '@siskinbeam/platform-adapter/wire'
import { fromPromise, sleep, take, type ProcessBody } from '@siskinbeam/processes/channels'
import { sample } from '@siskinbeam/random/createRandom'
import { superviseProcess, type SupervisedProcess } from '@siskinbeam/processes/superviseProcess'
import { addHosts, chooseSource, noteSourceFailed, noteSourceWorks, type DutyState, type KnownHost } from '@siskinbeam/watch-duty/watchDuty'
import type { PlatformHost } from '../platformHost.js'
import type { Members } from './keepMembers.js'
import { syncPath, type Member, type SyncReply, type SyncRequest } from './peerMessages.js'
import type { View } from './view.js'

export interface FollowSourceOptions {
  host: PlatformHost
  duty: DutyState
  own: () => Member
  view: View
  members: Members
  store: StoreClient
  watch: { confirmedAt: () => number, failingSince: () => number | undefined }
  /** When a follower called last. */
  followedAt: () => number
}

export interface SourceFollower {
  /** Whether this host watches the store by its own choice. */
  isOwnSource: () => boolean
  /** Name of the host that this host follows. */
  source: () => string
  confirmedAt: () => number
  /** Tells the other hosts of the data centre of a change of this host. */
  announce: () => Promise<void>
  /** Takes note of a host that called. */
  meet: (caller: Member) => void
  start: () => void
  stop: () => void
}

/** A held call is answered after this time at the latest. */
const holdMilliseconds = 400
const answerMilliseconds = 350
/** A new source gets this time to catch up with the store. */
const settleMilliseconds = 700
/** A source whose calls fail for longer is passed over. */
const longestFailingMilliseconds = 120
/** A view that is older is not kept up to date any more: a call to the store waits two seconds. */
const longestAgeMilliseconds = 2_900
const ownCheckMilliseconds = 100
const joinRetryMilliseconds = 700
/** A host that watches and has no followers asks others this often which hosts they know. */
const lonelyMilliseconds = 1_500
const askedWhenLonely = 2

/** Creates the follower. */
export function followSource ({ host, duty, own, view, members, store, watch, followedAt }: FollowSourceOptions): SourceFollower {
  const { now, logger, settings } = host
  const senders = new Map<string, HttpSender>()
  let source: KnownHost = duty.own
  let sourceSince = now()
  let registrySource = ''
  let registryRevision = 0
  let confirmedAt = -Infinity
  let askedWhenLonelyAt = now()

  const senderOf = (address: string): HttpSender => {
    const sender = senders.get(address) ?? createHttpSender({ address, timeoutMilliseconds: answerMilliseconds, maximumConnections: 1 })
    senders.set(address, sender)
    return sender
  }

  const sync = async (address: string, waitMilliseconds: number, follows: boolean): Promise<SyncReply | undefined> => {
    const request: SyncRequest = {
      member: own(),
      configurationVersion: view.routes()?.configuration.version ?? 0,
      registrySource,
      registryRevision,
      membersDigest: members.digest(),
      waitMilliseconds,
      follows
    }
    const outcome = await senderOf(address).send({
      method: 'POST',
      path: syncPath,
      body: JSON.stringify(request),
      headers: { 'content-type': 'application/json' },
      timeoutMilliseconds: waitMilliseconds + answerMilliseconds
    })
    host.metrics.count(`peer_calls_total{outcome="${outcome.replied ? outcome.status : 'failed'}"}`)
    return outcome.replied && outcome.status === 200 ? JSON.parse(outcome.body.toString('utf8')) as SyncReply : undefined
  }

  const hear = (reply: SyncReply, from: string): void => {
    if (reply.configuration !== undefined) view.applyConfiguration(reply.configuration, from)
    if (reply.servers !== undefined) {
      view.applyServers(reply.servers, from)
      registrySource = reply.boot
      registryRevision = reply.servers.revision
    }
    addHosts(duty, (reply.members ?? []).filter(({ dataCentre }) => dataCentre === settings.dataCentre))
  }

  const setSource = (next: KnownHost): void => {
    if (next.name === source.name) return
    logger.info('source changed', { from: source.name, to: next.name, ageMilliseconds: Math.round(now() - confirmedAt) })
    source = next
    sourceSince = now()
  }

  const passOver = (name: string, reason: string): void => {
    logger.warn('source passed over', { source: name, reason })
    noteSourceFailed(duty, name, now())
  }

  const checkOwn = (): void => {
    confirmedAt = Math.max(confirmedAt, watch.confirmedAt())
    const failingSince = watch.failingSince()
    const isFailing = failingSince !== undefined && now() - failingSince > longestFailingMilliseconds
    if (isFailing) passOver(duty.own.name, 'own calls to the store fail')
    else if (failingSince === undefined) noteSourceWorks(duty, duty.own.name)
  }

  const checkReply = (reply: SyncReply, from: KnownHost): void => {
    hear(reply, from.name)
    if (reply.members === undefined) members.confirm()
    else members.adopt(reply.members)
    if (reply.ageMilliseconds >= 0) confirmedAt = Math.max(confirmedAt, now() - reply.ageMilliseconds)
    const isSettled = now() - sourceSince > settleMilliseconds
    const isOutOfDate = reply.ageMilliseconds < 0 || reply.ageMilliseconds > longestAgeMilliseconds
    if (reply.failingMilliseconds > longestFailingMilliseconds) passOver(from.name, 'its calls to the store fail')
    else if (isSettled && isOutOfDate) passOver(from.name, 'its view is out of date')
    else if (isSettled) noteSourceWorks(duty, from.name)
  }

  /** Puts the own entry into the store and reads those of the others; seeds stand in while the store is away. */
  async function join (): Promise<boolean> {
    const written = await store.writeRow(Table.EntryHosts, settings.dataCentre, settings.host, duty.own)
    const reply = await store.readTable(Table.EntryHosts, settings.dataCentre)
    if (reply.outcome === StoreOutcome.Done) {
      addHosts(duty, reply.rows.map(({ value }) => value as KnownHost).filter(value => typeof value?.peerAddress === 'string'))
      await announce()
      return written.outcome === StoreOutcome.Done
    }
    logger.warn('data centre not joined', { outcome: reply.outcome, reason: reply.reason })
    const replies = await Promise.all(settings.seedPeers.filter(address => address !== settings.peerAddress).map(address => sync(address, 0, false)))
    replies.forEach(seedReply => { if (seedReply !== undefined) hear(seedReply, 'seed') })
    return false
  }

  async function announce (): Promise<void> {
    const others = [...duty.hosts.values()].filter(({ name }) => name !== settings.host)
    await Promise.all(others.map(({ peerAddress }) => sync(peerAddress, 0, false)))
  }

  /** Hosts that started at the same moment may not know each other, and then watch side by side. */
  const askIfLonely = (): void => {
    const others = [...duty.hosts.values()].filter(({ name }) => name !== settings.host)
    const isLonely = now() - Math.max(askedWhenLonelyAt, followedAt()) > lonelyMilliseconds
    if (others.length === 0 || !isLonely) return
    askedWhenLonelyAt = now()
    sample(host.random, others, askedWhenLonely).forEach(other => {
      sync(other.peerAddress, 0, false).then(reply => { if (reply !== undefined) hear(reply, other.name) }, () => {})
    })
  }

  function * runJoin (): ProcessBody {
    for (;;) {
      const joined: { value?: boolean } = yield take(fromPromise(join()))
      if (joined.value === true) return
      yield sleep(joinRetryMilliseconds * (0.7 + 0.6 * host.random()))
    }
  }

  function * runFollow (): ProcessBody {
    for (;;) {
      setSource(chooseSource(duty, source, now()))
      if (source.name === settings.host) {
        checkOwn()
        askIfLonely()
        yield sleep(ownCheckMilliseconds)
        continue
      }
      const from = source
      const settled: { value?: SyncReply } = yield take(fromPromise(sync(from.peerAddress, holdMilliseconds, true)))
      if (settled.value === undefined) passOver(from.name, 'no answer')
      else checkReply(settled.value, from)
    }
  }

  let processes: SupervisedProcess[] = []
  return {
    start: () => {
      processes = [
        superviseProcess({ name: 'join data centre', logger, body: runJoin }),
        superviseProcess({ name: 'follow source', logger, body: runFollow })
      ]
    },
    isOwnSource: () => source.name === settings.host,
    source: () => source.name,
    confirmedAt: () => confirmedAt,
    announce,
    meet: caller => { if (caller.dataCentre === settings.dataCentre) addHosts(duty, [caller]) },
    stop: () => {
      processes.forEach(process => process.stop())
      senders.forEach(sender => sender.close())
    }
  }
}
