// Keeps the newest accepted bundle active: drives the rollout state machine, reads the head and bundle bodies from the
// platform, and queries peers.
import { headKey, formatBodyKey, type BundleHead } from '@siskinbeam/rollout/bundleStores'
import { BodySource, RolloutCommandKind, RolloutEventKind, type RolloutCommand, type RolloutEvent } from '@siskinbeam/rollout/rolloutMessages'
import { createRolloutState, findActiveDocument, mayServe, getActiveHead, getRolloutStatus, type RolloutState, type RolloutStatus } from '@siskinbeam/rollout/rolloutState'
import { stepRollout } from '@siskinbeam/rollout/stepRollout'
import type { ObjectClient } from '@siskinbeam/clients/createObjectClient'
import type { TableClient } from '@siskinbeam/clients/createTableClient'
import type { FetchedBundle } from '@siskinbeam/exchange/servePeers'
import type { PeerClients } from '@siskinbeam/exchange/createPeerClients'
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { Metrics } from '@siskinbeam/metrics/createMetrics'
import { sleep, type ProcessBody } from '@siskinbeam/processes/channels'
import { superviseProcess } from '@siskinbeam/processes/superviseProcess'
import type { PeerMessage } from '@siskinbeam/protocol/peerMessage'
import type { Random } from '@siskinbeam/random/createRandom'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { serializeSignedBundle, parseSignedBundle } from '@siskinbeam/signatures/signedBundle'
import type { TrustedKeys } from '@siskinbeam/signatures/signingKeys'
import type { VerifiedBundle } from '@siskinbeam/signatures/verifySignedBundle'
import { z } from 'zod'

export interface WatchBundlesOptions {
  trustedKeys: TrustedKeys
  table: TableClient
  objects: ObjectClient
  peerClients: PeerClients
  /** Lists the live peers with name and peer address. */
  listPeers: () => Array<{ host: string, peerAddress: string }>
  countListedHosts: () => number
  logger: Logger
  metrics: Metrics
  now: () => number
  random: Random
  activateBundle: (verified: VerifiedBundle) => void
}

/** The running bundle watcher. */
export interface BundleWatcher {
  /** Whether requests are accepted: a bundle is active and known to be sufficiently current. */
  mayServe: () => boolean
  handlePeerMessage: (message: PeerMessage) => void
  fetchForPeer: (version: number) => Result<FetchedBundle>
  head: () => BundleHead | undefined
  status: () => RolloutStatus
  stop: () => void
}

const tickMilliseconds = 200
const digestPrefixLength = 16
const headSchema = z.object({ version: z.number().int().min(1), digest: z.string() })

/** Starts to watch for new bundles. */
export function watchBundles (options: WatchBundlesOptions): BundleWatcher {
  const { table, objects, peerClients, logger, metrics, now, random } = options
  const state: RolloutState = createRolloutState({ trustedKeys: options.trustedKeys, now: now() })
  const pendingPeers = new Set<string>()

  const handleEvent = (event: RolloutEvent): void => {
    stepRollout({ state, event, now: now(), random }).forEach(command => (commandHandlers[command.kind] as (command: RolloutCommand) => void)(command))
  }
  const findPeerAddress = (peer: string): string | undefined => options.listPeers().find(({ host }) => host === peer)?.peerAddress

  const queryPeer = (peer: string, request?: number): void => {
    const address = findPeerAddress(peer)
    if (address === undefined || pendingPeers.has(peer)) return
    pendingPeers.add(peer)
    peerClients.get(address).status().then(status => {
      pendingPeers.delete(peer)
      if (!status.ok) return
      const { bundleVersion, bundleDigest } = status.value
      handleEvent({
        kind: RolloutEventKind.PeerVersion,
        peer,
        head: bundleVersion === 0 ? null : { version: bundleVersion, digest: bundleDigest },
        ...(request === undefined ? {} : { request })
      })
    }).catch(error => logger.error('peer status failed', { peer, reason: String(error) }))
  }

  const commandHandlers: { [Kind in RolloutCommandKind]: (command: Extract<RolloutCommand, { kind: Kind }>) => void } = {
    [RolloutCommandKind.ReadHead]: ({ request }) => {
      metrics.count('head_reads_total')
      table.read([headKey]).then(read => {
        const row = read.ok ? read.value.rows.find(({ key }) => key === headKey) : undefined
        const head = headSchema.safeParse(row?.value)
        if (!read.ok || (row !== undefined && !head.success)) handleEvent({ kind: RolloutEventKind.HeadReadFailed, request })
        else handleEvent({ kind: RolloutEventKind.HeadRead, request, head: head.success ? head.data : null })
      }).catch(error => logger.error('head read failed', { reason: String(error) }))
    },
    [RolloutCommandKind.QueryPeers]: ({ peers, request }) => {
      peers.forEach(peer => {
        pendingPeers.delete(peer)
        queryPeer(peer, request)
      })
    },
    [RolloutCommandKind.FetchBodyFromStore]: ({ requested }) => {
      const origin = { source: BodySource.Store } as const
      objects.get(formatBodyKey(requested.digest)).then(body => {
        const document = body.ok ? parseSignedBundle(body.value) : body
        if (document.ok) handleEvent({ kind: RolloutEventKind.BodyReceived, requested, origin, document: document.value })
        else handleEvent({ kind: RolloutEventKind.BodyFailed, requested, origin })
      }).catch(error => logger.error('body read failed', { reason: String(error) }))
    },
    [RolloutCommandKind.FetchBodyFromPeer]: ({ requested, peer }) => {
      const origin = { source: BodySource.Peer, peer } as const
      const address = findPeerAddress(peer)
      if (address === undefined) return setImmediate(handleEvent, { kind: RolloutEventKind.BodyFailed, requested, origin }) as unknown as void
      peerClients.get(address).fetchBundle(requested.version).then(fetched => {
        const document = fetched.ok ? parseSignedBundle(fetched.value.bundle) : fetched
        if (document.ok) handleEvent({ kind: RolloutEventKind.BodyReceived, requested, origin, document: document.value })
        else handleEvent({ kind: RolloutEventKind.BodyFailed, requested, origin })
      }).catch(error => logger.error('body from peer failed', { peer, reason: String(error) }))
    },
    // Nothing to send: both messages of a heartbeat exchange carry the bundle version of their sender, and membership
    // announces a new version immediately.
    [RolloutCommandKind.AnnounceToPeers]: () => {},
    [RolloutCommandKind.ActivateBundle]: ({ verified }) => options.activateBundle(verified),
    [RolloutCommandKind.ReportRefusal]: ({ refused, error }) => {
      metrics.count('bundles_refused_total')
      logger.warn('bundle refused', { version: refused.version, digest: refused.digest, code: error.code, name: ResultCode[error.code], reason: error.message })
    }
  }

  const loop = superviseProcess({
    name: 'bundles',
    logger,
    body: function * (): ProcessBody {
      while (true) {
        handleEvent({ kind: RolloutEventKind.Tick, peers: options.listPeers().map(({ host }) => host), listedHosts: options.countListedHosts() })
        yield sleep(tickMilliseconds)
      }
    }
  })

  return {
    mayServe: () => mayServe(state, now()),
    handlePeerMessage: ({ heartbeat: { sender, members }, bundleDigestPrefix }) => {
      const activeHead = getActiveHead(state)
      const isSameBundle = activeHead !== undefined && activeHead.version === sender.bundleVersion && activeHead.digest.startsWith(bundleDigestPrefix)
      // A heartbeat contains only a prefix of the digest, so the full digest is queried from a peer with a newer version.
      const newerMember = [sender, ...members].find(({ bundleVersion, suspected }) => bundleVersion > (activeHead?.version ?? 0) && !suspected)
      if (newerMember !== undefined) queryPeer(newerMember.host)
      handleEvent({ kind: RolloutEventKind.PeerVersion, peer: sender.host, head: isSameBundle ? activeHead : null })
    },
    fetchForPeer: version => {
      const document = findActiveDocument(state, version)
      const head = getActiveHead(state)
      return document === undefined || head === undefined
        ? fail(ResultCode.BundleNotFound, `version ${version} is not in force on this host`)
        : succeed({ version: head.version, bundle: serializeSignedBundle(document) })
    },
    head: () => getActiveHead(state),
    status: () => getRolloutStatus(state, now()),
    stop: loop.stop
  }
}

/** Returns the prefix of the digest that heartbeats carry, or an empty string without a head. */
export function shortenDigest (head: BundleHead | undefined): string {
  return head?.digest.slice(0, digestPrefixLength) ?? ''
}
