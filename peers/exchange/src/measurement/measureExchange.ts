// Measures the bytes on the socket and the processor time of an exchange over a reused session, for several sizes of
// the membership, and the bytes of the first exchange of a session.
// Run: node peers/exchange/lib/src/measurement/measureExchange.js
import { createMembershipState, type MembershipState } from '@siskinbeam/entry-hosts/membershipState'
import { MembershipCommandKind, MembershipEventKind, stepMembership, type MembershipCommand, type MembershipEvent } from '@siskinbeam/entry-hosts/stepMembership'
import type { Heartbeat } from '@siskinbeam/entry-hosts/memberEntry'
import type { PeerMessage } from '@siskinbeam/protocol/peerMessage'
import { createRandom } from '@siskinbeam/random/createRandom'
import { createPeerClient } from '../createPeerClient.js'
import { startCountingProxy } from './startCountingProxy.js'
import { createSampleEntry, createSampleMessage, peerKey, startSamplePeer } from './startSamplePeer.js'

const timedExchanges = 2_000
const countedExchanges = 200
const pauseMilliseconds = 2
const ticksUntilConverged = 200
const random = createRandom(1)

const repeat = async (count: number, step: () => Promise<unknown>): Promise<void> => {
  if (count === 0) return
  await step()
  await repeat(count - 1, step)
}

function stepAtStart (state: MembershipState, event: MembershipEvent): MembershipCommand[] {
  return stepMembership({ state, event, now: 0, random })
}

/** Creates a host that knows all other hosts and has no changes left to disseminate. */
function createConvergedHost (index: number, hosts: number): MembershipState {
  const state = createMembershipState({ ...createSampleEntry(index), now: 0 })
  Array.from({ length: hosts }, (_, other) => createSampleEntry(other))
    .filter(({ host }) => host !== state.own.host)
    .forEach(sender => stepAtStart(state, { kind: MembershipEventKind.HeartbeatReceived, heartbeat: { sender, members: [] }, answerRequired: false }))
  Array.from({ length: ticksUntilConverged }).forEach(() => stepAtStart(state, { kind: MembershipEventKind.Tick }))
  return state
}

interface Measurement {
  name: string
  request: () => PeerMessage
  answer: (message: PeerMessage) => PeerMessage
}

async function measure ({ name, request, answer }: Measurement): Promise<void> {
  const server = await startSamplePeer({ exchange: answer })
  const proxy = await startCountingProxy(server.address)
  const proxiedClient = createPeerClient({ address: proxy.address, key: peerKey, timeoutMilliseconds: 1_000 })
  const directClient = createPeerClient({ address: server.address, key: peerKey, timeoutMilliseconds: 1_000 })
  const exchange = async (client: typeof proxiedClient): Promise<void> => {
    const result = await client.exchange(request())
    if (!result.ok) throw new Error(result.error.message)
  }
  // In operation there are two exchanges a second. The pause keeps the frames of consecutive exchanges separate.
  const exchangeAndPause = async (): Promise<void> => {
    await exchange(proxiedClient)
    await new Promise(resolve => { setTimeout(resolve, pauseMilliseconds) })
  }
  await exchangeAndPause()
  const first = proxy.sent() + proxy.received()
  await repeat(countedExchanges, exchangeAndPause)
  const before = { sent: proxy.sent(), received: proxy.received() }
  await repeat(countedExchanges, exchangeAndPause)
  const requestBytes = (proxy.sent() - before.sent) / countedExchanges
  const answerBytes = (proxy.received() - before.received) / countedExchanges

  await repeat(countedExchanges, () => exchange(directClient))
  const startUsage = process.cpuUsage()
  await repeat(timedExchanges, () => exchange(directClient))
  const usage = process.cpuUsage(startUsage)
  console.log(`${name} requestBytes=${requestBytes.toFixed(0)} answerBytes=${answerBytes.toFixed(0)} firstExchangeBytes=${first} microsecondsBothEnds=${((usage.user + usage.system) / timedExchanges).toFixed(0)}`)
  proxiedClient.close()
  directClient.close()
  proxy.close()
  await server.close(100)
}

const withHeartbeat = (heartbeat: Heartbeat): PeerMessage => ({ ...createSampleMessage(0), heartbeat })

function measureHosts (hosts: number): Promise<void> {
  const [own, other] = [createConvergedHost(0, hosts), createConvergedHost(1, hosts)]
  const sendFrom = (): Heartbeat => {
    const send = stepAtStart(own, { kind: MembershipEventKind.Tick }).find(command => command.kind === MembershipCommandKind.SendHeartbeat)
    return send?.heartbeat as Heartbeat
  }
  const answerFrom = (heartbeat: Heartbeat): Heartbeat => {
    const answer = stepAtStart(other, { kind: MembershipEventKind.HeartbeatReceived, heartbeat, answerRequired: true }).find(command => command.kind === MembershipCommandKind.AnswerHeartbeat)
    return answer?.heartbeat as Heartbeat
  }
  return measure({ name: `hosts=${hosts}`, request: () => withHeartbeat(sendFrom()), answer: ({ heartbeat }) => withHeartbeat(answerFrom(heartbeat)) })
}

const measureSampleMessage = (members: number, loadReports: number): Promise<void> =>
  measure({ name: `members=${members} loadReports=${loadReports}`, request: () => createSampleMessage(members, loadReports), answer: () => createSampleMessage(members, loadReports) })

await measureHosts(3)
await measureHosts(20)
await measureHosts(100)
await measureSampleMessage(7, 0)
await measureSampleMessage(2, 4)
await measureSampleMessage(7, 32)
