// Measures the socket bytes and the processor time of an exchange between two hosts that know a number of
// members, over a reused session, and the bytes of the first exchange of a session.
// Run: node peers/exchange/lib/src/measurement/measureExchange.js
import { createMembershipState, type MembershipState } from '@siskinbeam/entry-hosts/membershipState'
import { MembershipCommandKind, MembershipEventKind, stepMembership, type MembershipCommand, type MembershipEvent } from '@siskinbeam/entry-hosts/stepMembership'
import type { Heartbeat } from '@siskinbeam/entry-hosts/memberEntry'
import type { PeerMessage } from '@siskinbeam/protocol/peerMessage'
import { createRandom } from '@siskinbeam/random/createRandom'
import { createPeerClient } from '../createPeerClient.js'
import { startRelay } from './startRelay.js'
import { makeEntry, makeMessage, peerKey, startSamplePeer } from './startSamplePeer.js'

const exchanges = 2_000
const countedExchanges = 200
const pauseMilliseconds = 2
const ticksUntilQuiet = 200
const random = createRandom(1)

const repeat = async (count: number, step: () => Promise<unknown>): Promise<void> => {
  if (count === 0) return
  await step()
  await repeat(count - 1, step)
}

function stepOnce (state: MembershipState, event: MembershipEvent): MembershipCommand[] {
  return stepMembership({ state, event, now: 0, random })
}

/** A host that knows the others of `hosts` and has nothing new to tell. */
function createQuietHost (index: number, hosts: number): MembershipState {
  const state = createMembershipState({ ...makeEntry(index), now: 0 })
  Array.from({ length: hosts }, (_, other) => makeEntry(other))
    .filter(({ host }) => host !== state.own.host)
    .forEach(sender => stepOnce(state, { kind: MembershipEventKind.HeartbeatReceived, heartbeat: { sender, members: [] }, answerRequired: false }))
  Array.from({ length: ticksUntilQuiet }).forEach(() => stepOnce(state, { kind: MembershipEventKind.Tick }))
  return state
}

interface Measurement {
  name: string
  request: () => PeerMessage
  answer: (message: PeerMessage) => PeerMessage
}

async function measure ({ name, request, answer }: Measurement): Promise<void> {
  const server = await startSamplePeer({ exchange: answer })
  const relay = await startRelay(server.address)
  const counted = createPeerClient({ address: relay.address, key: peerKey, timeoutMilliseconds: 1_000 })
  const direct = createPeerClient({ address: server.address, key: peerKey, timeoutMilliseconds: 1_000 })
  const exchange = async (client: typeof counted): Promise<void> => {
    const result = await client.exchange(request())
    if (!result.ok) throw new Error(result.error.message)
  }
  // A pause between exchanges keeps frames of neighbouring exchanges apart, as they are at two a second.
  const exchangeAndPause = async (): Promise<void> => {
    await exchange(counted)
    await new Promise(resolve => { setTimeout(resolve, pauseMilliseconds) })
  }
  await exchangeAndPause()
  const first = relay.sent() + relay.received()
  await repeat(countedExchanges, exchangeAndPause)
  const before = { sent: relay.sent(), received: relay.received() }
  await repeat(countedExchanges, exchangeAndPause)
  const requestBytes = (relay.sent() - before.sent) / countedExchanges
  const answerBytes = (relay.received() - before.received) / countedExchanges

  await repeat(countedExchanges, () => exchange(direct))
  const startUsage = process.cpuUsage()
  await repeat(exchanges, () => exchange(direct))
  const usage = process.cpuUsage(startUsage)
  console.log(`${name} requestBytes=${requestBytes.toFixed(0)} answerBytes=${answerBytes.toFixed(0)} firstExchangeBytes=${first} microsecondsBothEnds=${((usage.user + usage.system) / exchanges).toFixed(0)}`)
  counted.close()
  direct.close()
  relay.close()
  await server.close(100)
}

const withHeartbeat = (heartbeat: Heartbeat): PeerMessage => ({ ...makeMessage(0), heartbeat })

function measureHosts (hosts: number): Promise<void> {
  const [own, other] = [createQuietHost(0, hosts), createQuietHost(1, hosts)]
  const sendFrom = (): Heartbeat => {
    const send = stepOnce(own, { kind: MembershipEventKind.Tick }).find(command => command.kind === MembershipCommandKind.SendHeartbeat)
    return send?.heartbeat as Heartbeat
  }
  const answerFrom = (heartbeat: Heartbeat): Heartbeat => {
    const answer = stepOnce(other, { kind: MembershipEventKind.HeartbeatReceived, heartbeat, answerRequired: true }).find(command => command.kind === MembershipCommandKind.AnswerHeartbeat)
    return answer?.heartbeat as Heartbeat
  }
  return measure({ name: `hosts=${hosts}`, request: () => withHeartbeat(sendFrom()), answer: ({ heartbeat }) => withHeartbeat(answerFrom(heartbeat)) })
}

const measureFixed = (members: number, loadReports: number): Promise<void> =>
  measure({ name: `members=${members} loadReports=${loadReports}`, request: () => makeMessage(members, loadReports), answer: () => makeMessage(members, loadReports) })

await measureHosts(3)
await measureHosts(20)
await measureHosts(100)
await measureFixed(7, 0)
await measureFixed(2, 4)
await measureFixed(7, 32)
