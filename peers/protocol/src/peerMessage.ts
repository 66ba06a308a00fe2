// The message of the Exchange call, and its conversion to and from protobuf. Every received field is validated
// here, since a peer may run another version or be faulty.
import { create } from '@bufbuild/protobuf'
import { maximumEntriesPerHeartbeat, type Heartbeat, type MemberEntry } from '@siskinbeam/entry-hosts/memberEntry'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { packCrashReport, unpackCrashReport, type PeerCrashReport } from './crashReport.js'
import { packAddress, packBytes, unpackAddress, unpackBytes, unpackCount } from './compactFields.js'
import {
  HeartbeatSchema, LoadReportSchema, MemberEntrySchema,
  type Heartbeat as WireHeartbeat, type MemberEntry as WireMemberEntry
} from './generated/siskinbeam/peer/v1/peer_pb.js'

export const maximumLoadReports = 32

const bootIdBytes = 8
const digestPrefixBytes = 8
const serverIdBytes = 8
const maximumCount = 0xffff_ffff
const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/
const microsecondsPerMillisecond = 1_000

/** Load report of a server. `serverId` is the result of `computeServerId`. */
export interface PeerLoadReport {
  serverId: string
  inFlight: number
  queued: number
  latencyMilliseconds: number
  ageMilliseconds: number
}

/** Request and response of one exchange between two hosts. */
export interface PeerMessage {
  heartbeat: Heartbeat
  /** First 16 hexadecimal digits of the digest of the active bundle, empty if there is none. */
  bundleDigestPrefix: string
  crashReport: PeerCrashReport
  loadReports: PeerLoadReport[]
}

/** Converts a message to protobuf. Lists are truncated to their maximum length. */
export function packPeerMessage (message: PeerMessage): WireHeartbeat {
  return create(HeartbeatSchema, {
    sender: packEntry(message.heartbeat.sender),
    members: message.heartbeat.members.slice(0, maximumEntriesPerHeartbeat - 1).map(packEntry),
    membersFrom: message.heartbeat.membersFrom,
    bundleDigest: packBytes(message.bundleDigestPrefix.slice(0, 2 * digestPrefixBytes)),
    crashReport: packCrashReport(message.crashReport),
    loadReports: message.loadReports.slice(0, maximumLoadReports).map(report =>
      create(LoadReportSchema, {
        serverId: packBytes(report.serverId),
        inFlight: packCount(report.inFlight),
        queued: packCount(report.queued),
        latencyMicroseconds: packCount(report.latencyMilliseconds * microsecondsPerMillisecond),
        ageMilliseconds: packCount(report.ageMilliseconds)
      }))
  })
}

/** Validates and converts a received message. Fails with MalformedRequest; `key` is the name of the invalid field. */
export function unpackPeerMessage (wire: WireHeartbeat): Result<PeerMessage> {
  try {
    return succeed({
      heartbeat: {
        sender: unpackEntry(wire.sender),
        members: unpackList('members', wire.members, maximumEntriesPerHeartbeat - 1).map(unpackEntry),
        membersFrom: wire.membersFrom
      },
      bundleDigestPrefix: wire.bundleDigest.length === 0 ? '' : unpackBytes('bundle_digest', wire.bundleDigest, digestPrefixBytes),
      crashReport: unpackCrashReport(wire.crashReport),
      loadReports: unpackList('load_reports', wire.loadReports, maximumLoadReports).map(report => ({
        serverId: unpackBytes('server_id', report.serverId, serverIdBytes),
        inFlight: report.inFlight,
        queued: report.queued,
        latencyMilliseconds: report.latencyMicroseconds / microsecondsPerMillisecond,
        ageMilliseconds: report.ageMilliseconds
      }))
    })
  } catch (error) {
    if (error instanceof RangeError) return fail(ResultCode.MalformedRequest, 'the peer message has a field out of range', { key: error.message })
    throw error
  }
}

function packEntry (entry: MemberEntry): WireMemberEntry {
  const [guestIp] = entry.guestAddress.split(':')
  const [peerIp] = entry.peerAddress.split(':')
  const peerAddress = packAddress(entry.peerAddress)
  return create(MemberEntrySchema, {
    host: entry.host,
    bootId: packBytes(entry.bootId),
    counter: entry.counter,
    dataCentre: entry.dataCentre,
    guestAddress: packAddress(entry.guestAddress),
    peerAddress: guestIp === peerIp ? peerAddress.subarray(-2) : peerAddress,
    leaving: entry.leaving,
    suspected: entry.suspected,
    suspectedMilliseconds: packCount(entry.suspectedMilliseconds),
    bundleVersion: BigInt(entry.bundleVersion)
  })
}

function unpackEntry (wire: WireMemberEntry | undefined): MemberEntry {
  if (wire === undefined) throw new RangeError('sender')
  const guestAddress = unpackAddress('guest_address', wire.guestAddress)
  return {
    host: unpackName('host', wire.host),
    bootId: unpackBytes('boot_id', wire.bootId, bootIdBytes),
    counter: wire.counter,
    dataCentre: unpackName('data_centre', wire.dataCentre),
    guestAddress,
    peerAddress: unpackAddress('peer_address', wire.peerAddress, guestAddress),
    leaving: wire.leaving,
    suspected: wire.suspected,
    suspectedMilliseconds: wire.suspected ? wire.suspectedMilliseconds : 0,
    bundleVersion: unpackCount('bundle_version', wire.bundleVersion)
  }
}

function unpackName (field: string, name: string): string {
  if (!namePattern.test(name)) throw new RangeError(field)
  return name
}

function unpackList<Element> (field: string, list: Element[], maximumLength: number): Element[] {
  if (list.length > maximumLength) throw new RangeError(field)
  return list
}

function packCount (value: number): number {
  return Math.min(Math.max(Math.round(value), 0), maximumCount)
}
