// Keeps the view of the other entry hosts: sends heartbeats, answers them, and reads the host list.
// What else peers tell each other travels in the same messages, so that it costs no message of its own.
import { createRandom, type Random } from '@siskinbeam/random/createRandom'
import { HostRole, HostState, type HostListClient, type ListedHost } from '@siskinbeam/clients/createHostListClient'
import { buildHeartbeat } from '@siskinbeam/entry-hosts/buildHeartbeat'
import type { Heartbeat } from '@siskinbeam/entry-hosts/memberEntry'
import { createMembershipState, heartbeatIntervalMilliseconds, type CreateMembershipStateOptions, type MembershipState } from '@siskinbeam/entry-hosts/membershipState'
import {
  MembershipCommandKind, MembershipEventKind, stepMembership, type MembershipCommand, type MembershipEvent
} from '@siskinbeam/entry-hosts/stepMembership'
import type { PeerClients } from '@siskinbeam/exchange/createPeerClients'
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { Metrics } from '@siskinbeam/metrics/createMetrics'
import { fromPromise, sleep, take, type ProcessBody } from '@siskinbeam/processes/channels'
import { superviseProcess } from '@siskinbeam/processes/superviseProcess'
import type { PeerMessage } from '@siskinbeam/protocol/peerMessage'

/** The parts of a message that other loops supply. */
export type PeerNews = Omit<PeerMessage, 'heartbeat'>

export interface KeepMembershipOptions {
  place: Omit<CreateMembershipStateOptions, 'now'>
  /** Peer addresses that are asked at the start, before the host list was read. */
  seedPeers: string[]
  peerClients: PeerClients
  hostList: HostListClient
  logger: Logger
  metrics: Metrics
  now: () => number
  random: Random
  /** What this host tells a peer of the data centre given. */
  tellNews: (dataCentre: string | undefined) => PeerNews
  /** Takes what a peer told. */
  hearNews: (message: PeerMessage) => void
  /** Takes the host list each time it was read. */
  onHostList: (hosts: ListedHost[]) => void
}

/** The running loops of membership. */
export interface MembershipLoop {
  state: MembershipState
  /** Entry hosts on the host list as last read, 0 before that. */
  listedHosts: () => number
  answerExchange: (message: PeerMessage) => PeerMessage
  bundleActivated: (bundleVersion: number) => void
  leave: () => void
  stop: () => void
}

const hostListIntervalMilliseconds = 1_000
const intervalJitter = 0.05

/** Starts the loops. */
export function keepMembership (options: KeepMembershipOptions): MembershipLoop {
  const { peerClients, logger, metrics, now } = options
  const random = createRandom(Math.floor(options.random() * 0x7fff_ffff))
  const state = createMembershipState({ ...options.place, now: now() })
  let listedHosts = 0

  const feed = (event: MembershipEvent): Heartbeat | undefined => {
    const commands = stepMembership({ state, event, now: now(), random })
    commands.filter(({ kind }) => kind !== MembershipCommandKind.AnswerHeartbeat).forEach(perform)
    return commands.find(command => command.kind === MembershipCommandKind.AnswerHeartbeat)?.heartbeat
  }
  const perform = (command: MembershipCommand): void => (commandHandlers[command.kind] as (command: MembershipCommand) => void)(command)
  const commandHandlers: { [Kind in MembershipCommandKind]: (command: Extract<MembershipCommand, { kind: Kind }>) => void } = {
    [MembershipCommandKind.SendHeartbeat]: ({ peer, heartbeat }) => {
      metrics.count('heartbeats_total')
      peerClients.get(peer.peerAddress).exchange({ heartbeat, ...options.tellNews(peer.dataCentre) }).then(answer => {
        if (!answer.ok) {
          metrics.count('heartbeats_failed_total')
          logger.debug('heartbeat failed', { peer: peer.host, reason: answer.error.message })
          feed({ kind: MembershipEventKind.ExchangeFailed, peer })
          return
        }
        options.hearNews(answer.value)
        feed({ kind: MembershipEventKind.HeartbeatReceived, heartbeat: answer.value.heartbeat, answerRequired: false })
      }).catch(error => logger.error('heartbeat answer failed', { peer: peer.host, reason: String(error) }))
    },
    [MembershipCommandKind.AnswerHeartbeat]: () => {},
    [MembershipCommandKind.ReportLaterBoot]: ({ bootId }) => logger.warn('a later boot runs under the name of this host', { bootId })
  }

  const heartbeats = superviseProcess({
    name: 'heartbeats',
    logger,
    body: function * (): ProcessBody {
      while (true) {
        feed({ kind: MembershipEventKind.Tick })
        peerClients.closeIdle()
        yield sleep(heartbeatIntervalMilliseconds * (1 - intervalJitter + 2 * intervalJitter * random()))
      }
    }
  })
  const hostListReads = superviseProcess({
    name: 'host-list',
    logger,
    body: function * (): ProcessBody {
      while (true) {
        const settled = yield take(fromPromise(options.hostList.list()))
        if (settled?.ok === true && settled.value.ok === true) {
          const hosts = settled.value.value as ListedHost[]
          const entryHosts = hosts.filter(({ role }) => role === HostRole.Entry)
          listedHosts = entryHosts.length
          feed({
            kind: MembershipEventKind.HostListRead,
            hosts: entryHosts.map(({ name, address, state: hostState }) => ({ host: name, peerAddress: address, leaving: hostState === HostState.Leaving }))
          })
          options.onHostList(hosts)
        } else {
          metrics.count('host_list_reads_failed_total')
        }
        yield sleep(hostListIntervalMilliseconds * (0.5 + random()))
      }
    }
  })
  // The host list may be out at the start, so known addresses are asked at once.
  options.seedPeers.filter(address => address !== options.place.peerAddress).forEach(address => perform({
    kind: MembershipCommandKind.SendHeartbeat,
    peer: { host: address, peerAddress: address },
    heartbeat: buildHeartbeat(state, address, now())
  }))

  return {
    state,
    listedHosts: () => listedHosts,
    answerExchange: message => {
      options.hearNews(message)
      const heartbeat = feed({ kind: MembershipEventKind.HeartbeatReceived, heartbeat: message.heartbeat, answerRequired: true })
      return { heartbeat: heartbeat ?? buildHeartbeat(state, message.heartbeat.sender.host, now()), ...options.tellNews(message.heartbeat.sender.dataCentre) }
    },
    bundleActivated: bundleVersion => { feed({ kind: MembershipEventKind.BundleActivated, bundleVersion }) },
    leave: () => { feed({ kind: MembershipEventKind.Leaving }) },
    stop: () => {
      heartbeats.stop()
      hostListReads.stop()
    }
  }
}
