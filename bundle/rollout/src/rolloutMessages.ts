// Input events and output commands of the rollout state machine.
import type { CodedError } from '@siskinbeam/result-codes/codedError'
import type { VerifiedBundle } from '@siskinbeam/signatures/verifySignedBundle'
import type { BundleHead } from './bundleStores.js'

export enum RolloutEventKind {
  Tick = 'tick',
  HeadRead = 'head-read',
  HeadReadFailed = 'head-read-failed',
  PeerVersion = 'peer-version',
  BodyReceived = 'body-received',
  BodyFailed = 'body-failed',
  Resumed = 'resumed'
}

export enum RolloutCommandKind {
  ReadHead = 'read-head',
  QueryPeers = 'ask-peers',
  FetchBodyFromStore = 'fetch-body-from-store',
  FetchBodyFromPeer = 'fetch-body-from-peer',
  AnnounceToPeers = 'tell-peers',
  ActivateBundle = 'put-in-force',
  ReportRefusal = 'report-refusal'
}

export enum BodySource {
  Store = 'store',
  Peer = 'peer'
}

/** Where a body is fetched from; `peer` is the name of the peer. */
export type BodyOrigin = { source: BodySource.Store } | { source: BodySource.Peer, peer: string }

/**
 * Events. `request` is the number of the command that the event responds to. It distinguishes a current
 * response from one that was buffered in a socket while this host was paused.
 */
export type RolloutEvent =
  /** Due at least every 250 ms, since a gap of more than 1 s between steps counts as a pause. */
  | {
    kind: RolloutEventKind.Tick
    /** Peers known from the host list or from heartbeats that are not suspected, without this host. */
    peers: string[]
    /** Number of entry hosts on the host list, including this one; 0 if the list was never read. */
    listedHosts: number
  }
  /** `head` is null if the table has no head row yet. */
  | { kind: RolloutEventKind.HeadRead, request: number, head: BundleHead | null }
  | { kind: RolloutEventKind.HeadReadFailed, request: number }
  /** A peer's version from a heartbeat, an announcement or, with `request`, the response to QueryPeers. `head` is null if the peer has no bundle. */
  | { kind: RolloutEventKind.PeerVersion, peer: string, head: BundleHead | null, request?: number }
  /** `requested` is copied from the command. `document` is parsed JSON that is not verified yet. */
  | { kind: RolloutEventKind.BodyReceived, requested: BundleHead, origin: BodyOrigin, document: unknown }
  | { kind: RolloutEventKind.BodyFailed, requested: BundleHead, origin: BodyOrigin }
  /** The process detected that it was paused for more than 1 s. */
  | { kind: RolloutEventKind.Resumed }

export type RolloutCommand =
  | { kind: RolloutCommandKind.ReadHead, request: number }
  | { kind: RolloutCommandKind.QueryPeers, peers: string[], request: number }
  | { kind: RolloutCommandKind.FetchBodyFromStore, requested: BundleHead }
  | { kind: RolloutCommandKind.FetchBodyFromPeer, requested: BundleHead, peer: string }
  | { kind: RolloutCommandKind.AnnounceToPeers, peers: string[], head: BundleHead }
  /** Makes this bundle the active one. */
  | { kind: RolloutCommandKind.ActivateBundle, verified: VerifiedBundle }
  /** Reports a refused body or head to logs and metrics. */
  | { kind: RolloutCommandKind.ReportRefusal, refused: BundleHead, origin: BodyOrigin, error: CodedError }
