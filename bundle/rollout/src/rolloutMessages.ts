// Events that a host reports to the rollout machine, and commands that it gets back.
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
  AskPeers = 'ask-peers',
  FetchBodyFromStore = 'fetch-body-from-store',
  FetchBodyFromPeer = 'fetch-body-from-peer',
  TellPeers = 'tell-peers',
  PutInForce = 'put-in-force',
  ReportRefusal = 'report-refusal'
}

export enum BodySource {
  Store = 'store',
  Peer = 'peer'
}

/** Where a body is fetched from; `peer` is the name of the peer. */
export type BodyOrigin = { source: BodySource.Store } | { source: BodySource.Peer, peer: string }

/**
 * Events. `request` is the number of the command that is answered; it tells a fresh answer from one
 * that lay in a socket buffer while this host was paused.
 */
export type RolloutEvent =
  /** At least every 250 ms, since a longer gap than 1 s between steps counts as a pause. */
  | {
    kind: RolloutEventKind.Tick
    /** Peers known from host list or heartbeats and not suspected, without this host. */
    peers: string[]
    /** Entry hosts on the host list, this one included; 0 if the list was never read. */
    listedHosts: number
  }
  /** `head` is null if the table has no head yet. */
  | { kind: RolloutEventKind.HeadRead, request: number, head: BundleHead | null }
  | { kind: RolloutEventKind.HeadReadFailed, request: number }
  /** A peer's version from a heartbeat, an announcement or, with `request`, the answer to AskPeers. `head` is null if the peer has no bundle. */
  | { kind: RolloutEventKind.PeerVersion, peer: string, head: BundleHead | null, request?: number }
  /** `requested` repeats the command. `document` is the parsed JSON, not yet verified. */
  | { kind: RolloutEventKind.BodyReceived, requested: BundleHead, origin: BodyOrigin, document: unknown }
  | { kind: RolloutEventKind.BodyFailed, requested: BundleHead, origin: BodyOrigin }
  /** The process noticed that it was paused for over 1 s. */
  | { kind: RolloutEventKind.Resumed }

export type RolloutCommand =
  | { kind: RolloutCommandKind.ReadHead, request: number }
  | { kind: RolloutCommandKind.AskPeers, peers: string[], request: number }
  | { kind: RolloutCommandKind.FetchBodyFromStore, requested: BundleHead }
  | { kind: RolloutCommandKind.FetchBodyFromPeer, requested: BundleHead, peer: string }
  | { kind: RolloutCommandKind.TellPeers, peers: string[], head: BundleHead }
  /** Use this bundle from now on. */
  | { kind: RolloutCommandKind.PutInForce, verified: VerifiedBundle }
  /** A body or head was refused; for logs and metrics. */
  | { kind: RolloutCommandKind.ReportRefusal, refused: BundleHead, origin: BodyOrigin, error: CodedError }
