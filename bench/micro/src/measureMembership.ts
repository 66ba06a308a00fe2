// Cost of the heartbeats of one host, and what they weigh on the wire.
import { toBinary } from '@bufbuild/protobuf'
import { createBootId, type Heartbeat, type MemberEntry } from '@siskinbeam/entry-hosts/memberEntry'
import { addMember, createMembershipState, heartbeatIntervalMilliseconds, type MembershipState } from '@siskinbeam/entry-hosts/membershipState'
import { MembershipCommandKind, MembershipEventKind, stepMembership } from '@siskinbeam/entry-hosts/stepMembership'
import { HeartbeatSchema } from '@siskinbeam/protocol/generated/siskinbeam/peer/v1/peer_pb'
import { packPeerMessage, type LoadReport } from '@siskinbeam/protocol/peerMessage'
import { createRandom } from '@siskinbeam/random/createRandom'
import { measureCost, recordBytes, type MeasuringEffort } from './measureCost.js'
import { MicroName, type Measurement } from './microRecord.js'

const hostCounts = [3, 20, 100, 300]
const carriedMembers = [0, 2, 7]
const reportCounts = [0, 4, 32]
const listedCounts = [20, 300, 2_000, 14_300]
const seed = 1
const bootEpoch = 1_750_000_000_000
const bootId = createBootId({ epochMilliseconds: bootEpoch, random: createRandom(seed) })

/** The entry of one of the hosts, by its position. */
export function makeMember (position: number): MemberEntry {
  const ip = `10.200.${position >> 8}.${position & 255}`
  return { host: `entry-${position + 1}`, bootId, counter: 7, dataCentre: `dc-${position % 11 + 1}`, guestAddress: `${ip}:8000`, peerAddress: `${ip}:8001`, leaving: false, suspected: false, suspectedMilliseconds: 0, bundleVersion: 26_000 }
}

/** The view of a host that knows all others. */
export function makeMembership (hosts: number): MembershipState {
  const { counter: _counter, leaving: _leaving, suspected: _suspected, ...place } = makeMember(0)
  const state = createMembershipState({ ...place, now: 0 })
  state.synchronizeFrom = undefined
  Array.from({ length: hosts - 1 }, (_, position) => addMember(state, makeMember(position + 1), 0))
  return state
}

/** Measures heartbeat steps and messages. */
export function measureMembership (effort: MeasuringEffort): Measurement[] {
  return [
    ...hostCounts.map(size => measureHeartbeat(effort, size)),
    ...carriedMembers.map(size => recordBytes({ name: MicroName.HeartbeatSize, size, sizeUnit: 'members carried' }, weighMessage(size, 0))),
    ...reportCounts.map(size => recordBytes({ name: MicroName.SharedReportsSize, size, sizeUnit: 'load reports' }, weighMessage(0, size))),
    ...listedCounts.map(size => recordBytes({ name: MicroName.HostListSize, size, sizeUnit: 'listed hosts' }, weighHostList(size)))
  ]
}

// What an interval costs one host on average: its own heartbeat, the answer to it, and a heartbeat of a peer that it answers.
function measureHeartbeat (effort: MeasuringEffort, size: number): Measurement {
  const state = makeMembership(size)
  const random = createRandom(seed)
  let now = 0
  let position = 0
  const nextHeartbeat = (): Heartbeat => {
    position = position % (size - 1) + 1
    const members = [1, 2].map(offset => makeMember((position + offset) % (size - 1) + 1)).filter(({ host }) => host !== `entry-${position + 1}`)
    return { sender: makeMember(position), members }
  }
  const heartbeats = Array.from({ length: size - 1 }, nextHeartbeat)
  let next = 0
  const takeHeartbeat = (): Heartbeat => heartbeats[next++ % heartbeats.length] as Heartbeat
  return measureCost({
    place: { name: MicroName.HeartbeatStep, size, sizeUnit: 'entry hosts' },
    effort,
    operate: () => {
      now += heartbeatIntervalMilliseconds
      const commands = stepMembership({ state, event: { kind: MembershipEventKind.Tick }, now, random })
      if (commands[0]?.kind !== MembershipCommandKind.SendHeartbeat) throw new Error('no heartbeat was sent')
      stepMembership({ state, event: { kind: MembershipEventKind.HeartbeatReceived, heartbeat: takeHeartbeat(), answerRequired: false }, now, random })
      return stepMembership({ state, event: { kind: MembershipEventKind.HeartbeatReceived, heartbeat: takeHeartbeat(), answerRequired: true }, now, random })
    }
  })
}

/** Bytes of an exchange message in protobuf, without the frames of HTTP/2. */
export function weighMessage (members: number, reports: number): number {
  const loadReports = Array.from({ length: reports }, (_, position): LoadReport =>
    ({ serverId: position.toString(16).padStart(16, 'a'), inFlight: 2, queued: 1, latencyMilliseconds: 18.25, ageMilliseconds: 25 }))
  return toBinary(HeartbeatSchema, packPeerMessage({
    heartbeat: { sender: makeMember(0), members: Array.from({ length: members }, (_, position) => makeMember(position + 1)) },
    bundleDigestPrefix: '0123456789abcdef',
    crashReport: { suspects: [], serverDeaths: [] },
    loadReports
  })).length
}

// The body of GET /hosts, which an entry host reads every second.
function weighHostList (hosts: number): number {
  return Buffer.byteLength(JSON.stringify(Array.from({ length: hosts }, (_, position) =>
    ({ name: `service-${position}-1`, role: 'server', address: `10.0.${position >> 8 & 255}.${position & 255}:9000`, dataCentre: `dc-${position % 11 + 1}`, state: 'live' }))))
}
