// Messages between entry hosts, sent as unary calls with JSON bodies.
import { gunzipSync, gzipSync } from 'node:zlib'
import type { Configuration } from '@siskinbeam/route-table/configuration'
import type { SuspectReport } from '@siskinbeam/crash-suspects/crashTypes'
import type { FailingServer } from '@siskinbeam/failure-evidence/failureEvidence'
import type { PeerHost } from '@siskinbeam/peer-forwarding/peerChoice'
import type { DepartureReport } from '@siskinbeam/server-registry/departureReports'
import type { RelayedUpdate } from '@siskinbeam/server-registry/serverRegistry'
import type { KnownHost } from '@siskinbeam/watch-duty/sourceSelection'
import type { ReportedLimit } from '../servers/limitedServers.js'
import type { ReportedSends } from './failureReports.js'

/** An entry host and whether it is ready for guests. */
export interface Member extends KnownHost {
  dataCentre: string
  ready: boolean
  /** Whether the host reaches no server of some service; absent if it reaches all services, or runs a program without it. */
  isCutOff?: boolean
}

/** Changes of the member list of a data centre since a revision that the receiver has. */
export interface MembersUpdate {
  /** Whether `members` is the complete list; members that it does not contain are removed. */
  whole: boolean
  revision: number
  members: Member[]
  gone: string[]
}

/** Requests the changes that are new to the caller, and announces the caller. */
export interface SyncRequest {
  member: Member
  configurationVersion: number
  /** Boot ID of the host that assigned the revisions below. */
  sourceBoot: string
  registryRevision: number
  /** Digest of the content; hosts with the same list have the same digest even if their revisions differ. */
  registryDigest: string
  membersRevision: number
  membersDigest: string
  /** How long the reply may be held until there is a change. */
  waitMilliseconds: number
  /** Whether the caller relies on the called host to watch the store. */
  follows: boolean
  /** Limits that the caller has observed since its last report; absent if there are none. */
  limits?: ReportedLimit[]
  /** Revision of the called host's limits that the caller has. */
  limitsRevision: number
  /** Starts of servers that leave, as far as the called host may not know; absent if there are none. */
  leavingServers?: string[]
  /** Revision of the called host's leaving servers that the caller has; absent if it runs a program without them. */
  leavingRevision?: number
  /** Revision of the called host's departures that the caller has; absent if it runs a program without them. */
  departuresRevision?: number
  /** Crash suspects that the caller could not write to the store; absent if there are none. */
  crashSuspects?: SuspectReport[]
  /** Revision of the called host's crash suspects that the caller has; absent if it runs a program without them. */
  crashesRevision?: number
  /** Outcomes of the caller's sends since its last report; absent if there are none. */
  sendReport?: ReportedSends[]
}

export interface SyncReply {
  boot: string
  /** Time since the sender's view was last confirmed to match the store; -1 if it never was. */
  ageMilliseconds: number
  /** Time for which the sender's calls to the store have been failing; 0 if they succeed. */
  failingMilliseconds: number
  registryRevision: number
  membersRevision: number
  limitsRevision: number
  /** What is known of all limits, if that is new to the caller. */
  limits?: ReportedLimit[]
  leavingRevision: number
  /** Starts of servers that leave and are new to the caller; absent if there are none. */
  leavingServers?: string[]
  departuresRevision: number
  /** Servers that have left or leave, if the caller may not have seen that itself; absent if there are none. */
  departures?: DepartureReport
  crashesRevision: number
  /** Crash suspects that are new to the caller; absent if there are none. */
  crashSuspects?: SuspectReport[]
  /** Servers that several hosts have seen failing; absent if there are none. */
  failingServers?: FailingServer[]
  /** Changes that are new to the caller, encoded by `encodeViewUpdate`; absent if there are none. */
  news?: string
}

export interface ViewUpdate {
  configuration?: Configuration
  servers?: RelayedUpdate
  members?: MembersUpdate
}

/** Introduces the caller and requests hosts of its data centre. */
export interface IntroduceRequest {
  member: Member
  /** Whether the caller has none of the called host's departures. */
  wantsDepartures?: boolean
}

export interface IntroduceReply {
  hosts: KnownHost[]
  departures?: DepartureReport
}

/** Requests a permit to contact a limited server of a service. */
export interface PermitRequest {
  member: Member
  service: string
  /** Keys of limited servers that can't take the request. */
  excluded: string[]
  /** Key of the only server that is wanted; absent if any will do. */
  server?: string
  /** Limits that the caller has just observed. */
  limits: ReportedLimit[]
  /** How long the request may wait for its permit. */
  waitMilliseconds: number
  isUrgent: boolean
}

export interface PermitReply {
  /** Key of the server that may be contacted after the delay; absent if no permit was granted. */
  server?: string
  delayMilliseconds?: number
  /** Without a permit: time until the next one is due, and after which the request may return. */
  dueInMilliseconds?: number
  retryAfterMilliseconds?: number
}

/** Asks whether the called host sends a request of the caller's guests to a server. */
export interface ForwardingOfferRequest {
  member: Member
  service: string
  /** The called host must have this configuration or a newer one. */
  configurationVersion: number
}

export interface ForwardingOffer {
  accepts: boolean
  /** Whether the called host reaches no server of the service either. */
  isOutOfReach: boolean
}

/** Requests hosts that may forward requests: some of the called host's data centre, and some that introduced themselves to it. */
export interface PeerListRequest {
  member: Member
}

export interface PeerListReply {
  hosts: PeerHost[]
}

export const forwardingOfferPath = '/siskinbeam.datacentre.v1.DataCentre/OfferForwarding'
export const peerListPath = '/siskinbeam.datacentre.v1.DataCentre/ListPeers'
export const syncPath = '/siskinbeam.datacentre.v1.DataCentre/Sync'
export const permitPath = '/siskinbeam.datacentre.v1.DataCentre/TakePermit'
export const introducePath = '/siskinbeam.datacentre.v1.DataCentre/Introduce'

/** An update may hold all servers, with a few hundred bytes each. */
const maximumUpdateBytes = 16_777_216

/** Encodes an update as base64 text. It is compressed, since host links may be slow and an update goes to many hosts at once. */
export function encodeViewUpdate (update: ViewUpdate): string {
  return gzipSync(JSON.stringify(update)).toString('base64')
}

/** Decodes an update. Throws if the text is not valid. */
export function decodeViewUpdate (encoded: string): ViewUpdate {
  return JSON.parse(gunzipSync(Buffer.from(encoded, 'base64'), { maxOutputLength: maximumUpdateBytes }).toString('utf8')) as ViewUpdate
}
