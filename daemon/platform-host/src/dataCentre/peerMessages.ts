// Messages between entry hosts, sent as unary calls with JSON bodies.
import { gunzipSync, gzipSync } from 'node:zlib'
import type { Configuration } from '@siskinbeam/route-table/configuration'
import type { RelayedUpdate } from '@siskinbeam/server-registry/serverRegistry'
import type { KnownHost } from '@siskinbeam/watch-duty/watchDuty'

/** An entry host and whether guests may be sent to it. */
export interface Member extends KnownHost {
  dataCentre: string
  ready: boolean
}

/** What became of the members of a data centre, for a host that knows an earlier revision of the list. */
export interface MembersUpdate {
  /** Members that are not named are gone. */
  whole: boolean
  revision: number
  members: Member[]
  gone: string[]
}

/** Asks a host for what is new to the caller, and tells it of the caller. */
export interface SyncRequest {
  member: Member
  configurationVersion: number
  /** The boot of the host whose revisions the caller knows. */
  sourceBoot: string
  registryRevision: number
  /** Hosts that have the same list have the same digest, whatever their revisions are. */
  registryDigest: string
  membersRevision: number
  membersDigest: string
  /** How long the answer may wait for something new. */
  waitMilliseconds: number
  /** Whether the caller relies on this host to watch the store. */
  follows: boolean
}

export interface SyncReply {
  boot: string
  /** Time since the sender's view was known to match the store; -1 if it never was. */
  ageMilliseconds: number
  /** Time for which the sender's calls to the store have failed; 0 if they work. */
  failingMilliseconds: number
  registryRevision: number
  membersRevision: number
  /** What is new to the caller, written by `packNews`; left out if nothing is. */
  news?: string
}

export interface ViewUpdate {
  configuration?: Configuration
  servers?: RelayedUpdate
  members?: MembersUpdate
}

/** Tells a host of the caller and asks it for hosts of the caller's data centre. */
export interface IntroduceRequest { member: Member }

export interface IntroduceReply { hosts: KnownHost[] }

export const syncPath = '/siskinbeam.datacentre.v1.DataCentre/Sync'
export const introducePath = '/siskinbeam.datacentre.v1.DataCentre/Introduce'

/** Packs news as text. Links of hosts may be slow, and news goes to many hosts at once. */
export function encodeViewUpdate (news: ViewUpdate): string {
  return gzipSync(JSON.stringify(news)).toString('base64')
}

export function decodeViewUpdate (encoded: string): ViewUpdate {
  return JSON.parse(gunzipSync(Buffer.from(encoded, 'base64')).toString('utf8')) as ViewUpdate
}
