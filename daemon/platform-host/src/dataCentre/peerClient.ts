// Calls to other entry hosts. What a reply brings goes into the view, the list of members and the hosts
// that may be followed.
import { createHttpSender, type HttpSender } from '@siskinbeam/clients/createHttpSender'
import { digestServers } from '@siskinbeam/server-registry/serverRegistry'
import { addHosts, type DutyState } from '@siskinbeam/watch-duty/watchDuty'
import type { PlatformHost } from '../platformHost.js'
import type { MemberList } from './memberList.js'
import { introducePath, syncPath, decodeViewUpdate, type IntroduceReply, type IntroduceRequest, type Member, type SyncReply, type SyncRequest } from './peerMessages.js'
import type { View } from './view.js'

export interface CreatePeerClientOptions {
  host: PlatformHost
  duty: DutyState
  own: () => Member
  view: View
  members: MemberList
}

export interface SyncOptions {
  address: string
  /** Name of the host called, for the log. */
  name: string
  waitMilliseconds: number
  follows: boolean
}

export interface PeerClient {
  /** Exchanges news with a host. Gives undefined if it does not answer. */
  sync: (options: SyncOptions) => Promise<SyncReply | undefined>
  /** Tells a host of this one. Gives whether it answered. */
  introduce: (address: string) => Promise<boolean>
  close: () => void
}

const callTimeoutMilliseconds = 350

/** Creates the caller. */
export function createPeerClient ({ host, duty, own, view, members }: CreatePeerClientOptions): PeerClient {
  const senders = new Map<string, HttpSender>()
  let sourceState = { boot: '', registryRevision: 0, membersRevision: 0 }

  const send = async <Reply>(address: string, path: string, message: SyncRequest | IntroduceRequest, waitMilliseconds: number): Promise<Reply | undefined> => {
    const sender = senders.get(address) ?? createHttpSender({ address, timeoutMilliseconds: callTimeoutMilliseconds, maximumConnections: 1 })
    senders.set(address, sender)
    const outcome = await sender.send({
      method: 'POST',
      path,
      body: JSON.stringify(message),
      headers: { 'content-type': 'application/json' },
      timeoutMilliseconds: waitMilliseconds + callTimeoutMilliseconds
    })
    host.metrics.count(`peer_calls_total{outcome="${outcome.replied ? outcome.status : 'failed'}"}`)
    return outcome.replied && outcome.status === 200 ? JSON.parse(outcome.body.toString('utf8')) as Reply : undefined
  }

  const applyReply = (reply: SyncReply, from: string, follows: boolean): void => {
    const { configuration, servers, members: changed } = reply.news === undefined ? {} : decodeViewUpdate(reply.news)
    if (configuration !== undefined) view.applyConfiguration(configuration, from)
    if (servers !== undefined) view.applyServers(servers, from)
    addHosts(duty, (changed?.members ?? []).filter(({ dataCentre }) => dataCentre === host.settings.dataCentre))
    // Revisions are kept of the host that is followed; those of others would only replace them.
    if (!follows) return
    if (changed === undefined) members.renewAll()
    else members.applyUpdate(changed)
    sourceState = { boot: reply.boot, registryRevision: reply.registryRevision, membersRevision: reply.membersRevision }
  }

  return {
    sync: async ({ address, name, waitMilliseconds, follows }) => {
      const reply = await send<SyncReply>(address, syncPath, {
        member: own(),
        configurationVersion: view.routes()?.configuration.version ?? 0,
        sourceBoot: sourceState.boot,
        registryRevision: sourceState.registryRevision,
        registryDigest: digestServers(view.registry),
        membersRevision: sourceState.membersRevision,
        membersDigest: members.digest(),
        waitMilliseconds,
        follows
      }, waitMilliseconds)
      if (reply !== undefined) applyReply(reply, name, follows)
      return reply
    },
    introduce: async address => {
      const reply = await send<IntroduceReply>(address, introducePath, { member: own() }, 0)
      if (reply !== undefined) addHosts(duty, reply.hosts)
      return reply !== undefined
    },
    close: () => senders.forEach(sender => sender.close())
  }
}
