// Measures the cost of the heartbeats of one host, and the size of membership messages on the wire.
import { toBinary } from '@bufbuild/protobuf'
import { createBootId, type Heartbeat, type MemberEntry } from '@siskinbeam/entry-hosts/memberEntry'
import { addMember, createMembershipState, heartbeatIntervalMilliseconds, type MembershipState } from '@siskinbeam/entry-hosts/membershipState'
import { MembershipCommandKind, MembershipEventKind, stepMembership } from '@siskinbeam/entry-hosts/stepMembership'
import { HeartbeatSchema } from '@siskinbeam/protocol/generated/siskinbeam/peer/v1/peer_pb'
import { packPeerMessage, type PeerLoadReport } from '@siskinbeam/protocol/peerMessage'
import { createRandom } from '@siskinbeam/random/createRandom'
import { measureCost, recordBytes, type SamplingOptions } from './measureCost.js'
import { MeasurementName, type Measurement } from './benchmarkRecord.js'

const hostCounts = [3, 20, 100, 300]
const carriedMemberCounts = [0, 2, 7]
const reportCounts = [0, 4, 32]
const listedHostCounts = [20, 300, 2_000, 14_300]
const seed = 1
const bootEpochMilliseconds = 1_750_000_000_000
const bootId = createBootId({ epochMilliseconds: bootEpochMilliseconds, random: createRandom(seed) })

/** Creates the member entry of the host at a position. */
export function makeMember (position: number): MemberEntry {
  const ip = `10.200.${position >> 8}.${position & 255}`
  return { host: `entry-${position + 1}`, bootId, counter: 7, dataCentre: `dc-${position % 11 + 1}`, guestAddress: `${ip}:8000`, peerAddress: `${ip}:8001`, leaving: false, suspected: false, suspectedMilliseconds: 0, bundleVersion: 26_000 }
}

/** Creates the membership state of a host that knows all others. */
export function makeMembership (hosts: number): MembershipState {
  const { counter: _counter, leaving: _leaving, suspected: _suspected, ...identity } = makeMember(0)
  const state = createMembershipState({ ...identity, now: 0 })
  state.synchronizeFrom = undefined
  Array.from({ length: hosts - 1 }, (_, position) => addMember(state, makeMember(position + 1), 0))
  return state
}

/** Measures heartbeat steps and the sizes of messages. */
export function measureMembership (sampling: SamplingOptions): Measurement[] {
  return [
    ...hostCounts.map(size => measureHeartbeat(sampling, size)),
    ...carriedMemberCounts.map(size => recordBytes({ name: MeasurementName.HeartbeatSize, size, sizeUnit: 'members carried' }, computeMessageBytes(size, 0))),
    ...reportCounts.map(size => recordBytes({ name: MeasurementName.SharedReportsSize, size, sizeUnit: 'load reports' }, computeMessageBytes(0, size))),
    ...listedHostCounts.map(size => recordBytes({ name: MeasurementName.HostListSize, size, sizeUnit: 'listed hosts' }, computeHostListBytes(size)))
  ]
}

// The average work of one host in a heartbeat interval: it sends a heartbeat, receives the answer, and answers the heartbeat of a peer.
function measureHeartbeat (sampling: SamplingOptions, size: number): Measurement {
  const state = makeMembership(size)
  const random = createRandom(seed)
  let now = 0
  let position = 0
  const createHeartbeat = (): Heartbeat => {
    position = position % (size - 1) + 1
    const members = [1, 2].map(offset => makeMember((position + offset) % (size - 1) + 1)).filter(({ host }) => host !== `entry-${position + 1}`)
    return { sender: makeMember(position), members }
  }
  const heartbeats = Array.from({ length: size - 1 }, createHeartbeat)
  let next = 0
  const nextHeartbeat = (): Heartbeat => heartbeats[next++ % heartbeats.length] as Heartbeat
  return measureCost({
    label: { name: MeasurementName.HeartbeatStep, size, sizeUnit: 'entry hosts' },
    sampling,
    operation: () => {
      now += heartbeatIntervalMilliseconds
      const commands = stepMembership({ state, event: { kind: MembershipEventKind.Tick }, now, random })
      if (commands[0]?.kind !== MembershipCommandKind.SendHeartbeat) throw new Error('no heartbeat was sent')
      stepMembership({ state, event: { kind: MembershipEventKind.HeartbeatReceived, heartbeat: nextHeartbeat(), answerRequired: false }, now, random })
      return stepMembership({ state, event: { kind: MembershipEventKind.HeartbeatReceived, heartbeat: nextHeartbeat(), answerRequired: true }, now, random })
    }
  })
}

/** Returns the protobuf size in bytes of an exchange message, without HTTP/2 framing. */
export function computeMessageBytes (members: number, reports: number): number {
  const loadReports = Array.from({ length: reports }, (_, position): PeerLoadReport =>
    ({ serverId: position.toString(16).padStart(16, 'a'), inFlight: 2, queued: 1, latencyMilliseconds: 18.25, ageMilliseconds: 25 }))
  return toBinary(HeartbeatSchema, packPeerMessage({
    heartbeat: { sender: makeMember(0), members: Array.from({ length: members }, (_, position) => makeMember(position + 1)) },
    bundleDigestPrefix: '0123456789abcdef',
    crashReport: { suspects: [], serverDeaths: [] },
    loadReports
  })).length
}

// Returns the size in bytes of the body of GET /hosts, which an entry host reads every second.
function computeHostListBytes (hosts: number): number {
  return Buffer.byteLength(JSON.stringify(Array.from({ length: hosts }, (_, position) =>
    ({ name: `service-${position}-1`, role: 'server', address: `10.0.${position >> 8 & 255}.${position & 255}:9000`, dataCentre: `dc-${position % 11 + 1}`, state: 'live' }))))
}
