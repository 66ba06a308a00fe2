// Maintains the view of the other entry hosts: sends and answers heartbeats, and reads the host list. Other updates for
// peers are sent in the same messages, so that they need no messages of their own.
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

/** The fields of a peer message that other modules supply. */
export type PeerUpdate = Omit<PeerMessage, 'heartbeat'>

export interface StartMembershipLoopOptions {
  localMember: Omit<CreateMembershipStateOptions, 'now'>
  /** Peer addresses that receive a heartbeat at the start, before the host list was read. */
  seedPeers: string[]
  peerClients: PeerClients
  hostList: HostListClient
  logger: Logger
  metrics: Metrics
  now: () => number
  random: Random
  /** Builds the update for a peer of this data centre; undefined if its data centre is unknown. */
  buildUpdate: (dataCentre: string | undefined) => PeerUpdate
  /** Called with each message of a peer. */
  onMessage: (message: PeerMessage) => void
  /** Called each time the host list was read. */
  onHostList: (hosts: ListedHost[]) => void
}

/** The running membership loop. */
export interface MembershipLoop {
  state: MembershipState
  /** Number of entry hosts on the host list when it was last read; 0 before the first read. */
  countListedHosts: () => number
  handleExchange: (message: PeerMessage) => PeerMessage
  recordActiveBundle: (bundleVersion: number) => void
  leave: () => void
  stop: () => void
}

const hostListIntervalMilliseconds = 1_000
const intervalJitter = 0.05

/** Starts sending heartbeats and reading the host list. */
export function startMembershipLoop (options: StartMembershipLoopOptions): MembershipLoop {
  const { peerClients, logger, metrics, now } = options
  const random = createRandom(Math.floor(options.random() * 0x7fff_ffff))
  const state = createMembershipState({ ...options.localMember, now: now() })
  let listedHostCount = 0

  const handleEvent = (event: MembershipEvent): Heartbeat | undefined => {
    const commands = stepMembership({ state, event, now: now(), random })
    commands.filter(({ kind }) => kind !== MembershipCommandKind.AnswerHeartbeat).forEach(runCommand)
    return commands.find(command => command.kind === MembershipCommandKind.AnswerHeartbeat)?.heartbeat
  }
  const runCommand = (command: MembershipCommand): void => (commandHandlers[command.kind] as (command: MembershipCommand) => void)(command)
  const commandHandlers: { [Kind in MembershipCommandKind]: (command: Extract<MembershipCommand, { kind: Kind }>) => void } = {
    [MembershipCommandKind.SendHeartbeat]: ({ peer, heartbeat }) => {
      metrics.count('heartbeats_total')
      peerClients.get(peer.peerAddress).exchange({ heartbeat, ...options.buildUpdate(peer.dataCentre) }).then(answer => {
        if (!answer.ok) {
          metrics.count('heartbeats_failed_total')
          logger.debug('heartbeat failed', { peer: peer.host, reason: answer.error.message })
          handleEvent({ kind: MembershipEventKind.ExchangeFailed, peer })
          return
        }
        options.onMessage(answer.value)
        handleEvent({ kind: MembershipEventKind.HeartbeatReceived, heartbeat: answer.value.heartbeat, answerRequired: false })
      }).catch(error => logger.error('handling a heartbeat answer failed', { peer: peer.host, reason: String(error) }))
    },
    [MembershipCommandKind.AnswerHeartbeat]: () => {},
    [MembershipCommandKind.ReportLaterBoot]: ({ bootId }) => logger.warn('a process with a later boot ID runs under the name of this host', { bootId })
  }

  const heartbeats = superviseProcess({
    name: 'heartbeats',
    logger,
    body: function * (): ProcessBody {
      while (true) {
        handleEvent({ kind: MembershipEventKind.Tick })
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
          listedHostCount = entryHosts.length
          handleEvent({
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
  // The host list may be unavailable at the start, so the seed peers are contacted immediately.
  options.seedPeers.filter(address => address !== options.localMember.peerAddress).forEach(address => runCommand({
    kind: MembershipCommandKind.SendHeartbeat,
    peer: { host: address, peerAddress: address },
    heartbeat: buildHeartbeat(state, address, now())
  }))

  return {
    state,
    countListedHosts: () => listedHostCount,
    handleExchange: message => {
      options.onMessage(message)
      const heartbeat = handleEvent({ kind: MembershipEventKind.HeartbeatReceived, heartbeat: message.heartbeat, answerRequired: true })
      return { heartbeat: heartbeat ?? buildHeartbeat(state, message.heartbeat.sender.host, now()), ...options.buildUpdate(message.heartbeat.sender.dataCentre) }
    },
    recordActiveBundle: bundleVersion => { handleEvent({ kind: MembershipEventKind.BundleActivated, bundleVersion }) },
    leave: () => { handleEvent({ kind: MembershipEventKind.Leaving }) },
    stop: () => {
      heartbeats.stop()
      hostListReads.stop()
    }
  }
}
