// Messages between the entry hosts of a data centre, sent as unary calls with JSON bodies.
import type { Configuration } from '@siskinbeam/route-table/configuration'
import type { RelayedUpdate } from '@siskinbeam/server-registry/serverRegistry'
import type { KnownHost } from '@siskinbeam/watch-duty/watchDuty'

/** An entry host and whether guests may be sent to it. */
export interface Member extends KnownHost {
  dataCentre: string
  ready: boolean
}

/** Asks a host for what is new to the caller, and tells it of the caller. */
export interface SyncRequest {
  member: Member
  configurationVersion: number
  /** The registry of which boot of which host the revision counts. */
  registrySource: string
  registryRevision: number
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
  configuration?: Configuration
  servers?: RelayedUpdate
  /** Left out if the caller has the same list. */
  members?: Member[]
}

export const syncPath = '/siskinbeam.datacentre.v1.DataCentre/Sync'
