// State machine that decides which bundle is active on a host. Versions only increase, and each host verifies
// every body itself. A newer version is discovered through the head of the table or through peers, and fetched
// from the object store or from peers, so that either path suffices. After a start or a pause, a host
// synchronizes the current version before it serves.
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { sample, type Random } from '@siskinbeam/random/createRandom'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { CodedError } from '@siskinbeam/result-codes/codedError'
import { verifySignedBundle, type VerifiedBundle } from '@siskinbeam/signatures/verifySignedBundle'
import type { BundleHead } from './bundleStores.js'
import { formatOrigin, recordInHistory } from './bundleHistory.js'
import { backOffOrigin, selectFetch, pruneCandidates, fetchTimeoutMilliseconds, isNewer, addCandidate } from './candidates.js'
import { computeMeanHeadInterval, computeJitteredHeadInterval } from './headSchedule.js'
import { BodySource, RolloutCommandKind, RolloutEventKind, type BodyOrigin, type RolloutCommand, type RolloutEvent } from './rolloutMessages.js'
import { createVersionSync, VersionSyncReason, pauseThresholdMilliseconds, getActiveHead, type RolloutState } from './rolloutState.js'
import { advanceVersionSync } from './versionSync.js'

/** Number of peers that receive an announcement of a new version or a query for their version. */
const gossipFanout = 3
const headTimeoutMilliseconds = 1_000
const peerQueryIntervalMilliseconds = 1_000
// Heartbeats arrive every 500 ms from several peers. Membership excludes a failed host within 3 s, so this uses the same time.
const peerSilenceMilliseconds = 3_000

export interface StepRolloutOptions {
  state: RolloutState
  event: RolloutEvent
  /** Monotonic milliseconds. */
  now: number
  random: Random
}

interface Step<Kind extends RolloutEventKind = RolloutEventKind> {
  state: RolloutState
  event: Extract<RolloutEvent, { kind: Kind }>
  now: number
  random: Random
}

type Handler<Kind extends RolloutEventKind> = (step: Step<Kind>) => RolloutCommand[]

/** Processes one event and returns the resulting commands in the order in which they must run. */
export function stepRollout ({ state, event, now, random }: StepRolloutOptions): RolloutCommand[] {
  const paused = event.kind === RolloutEventKind.Resumed || now - state.lastStepAt > pauseThresholdMilliseconds
  state.lastStepAt = now
  if (paused) startVersionSync(state, now)
  const handle = handlers[event.kind] as Handler<RolloutEventKind>
  const commands = handle({ state, event, now, random })
  return [...commands, ...continueVersionSync(state, now, random), ...continueHeadRead(state, now, random), ...continueFetch(state, now, random)]
}

const handlers: { [Kind in RolloutEventKind]: Handler<Kind> } = {
  [RolloutEventKind.Tick]: ({ state, event, now }) => {
    state.peers = event.peers
    state.listedHosts = event.listedHosts
    const { pending } = state.headRead
    if (pending !== undefined && now - pending.since > headTimeoutMilliseconds) recordHeadReadFailure(state, pending.request)
    if (state.pendingFetch !== undefined && now - state.pendingFetch.since > fetchTimeoutMilliseconds) {
      backOffOrigin(state, state.pendingFetch, now, false)
      state.pendingFetch = undefined
    }
    updateIsolation(state, now)
    return []
  },

  [RolloutEventKind.HeadRead]: ({ state, event, now }) => {
    const { headRead, versionSync } = state
    if (headRead.pending?.request === event.request) headRead.pending = undefined
    headRead.failed = false
    headRead.lastSuccessAt = now
    updateIsolation(state, now)
    if (versionSync !== undefined && event.request >= versionSync.firstRequest) versionSync.headReadSucceeded = true
    const { head } = event
    if (head === null) return []
    // Responses of two reads can arrive out of order, and the version of the head never decreases.
    if (head.version >= (state.head?.version ?? 0)) state.head = head
    addCandidate(state, state.head ?? head)
    return reportConflict(state, head, now)
  },

  [RolloutEventKind.HeadReadFailed]: ({ state, event, now }) => {
    recordHeadReadFailure(state, event.request)
    updateIsolation(state, now)
    return []
  },

  [RolloutEventKind.PeerVersion]: ({ state, event, now }) => {
    state.lastPeerMessageAt = now
    updateIsolation(state, now)
    recordPeerHead(state, event)
    const activeHead = getActiveHead(state)
    // Before the first bundle, versions of peers are used only if the store is unavailable (see versionSync.ts).
    if (activeHead !== undefined && event.head !== null) addCandidate(state, event.head, event.peer)
    const isBehind = activeHead !== undefined && (event.head?.version ?? 0) < activeHead.version
    return isBehind ? [{ kind: RolloutCommandKind.AnnounceToPeers, peers: [event.peer], head: activeHead }] : []
  },

  [RolloutEventKind.BodyReceived]: ({ state, event, now, random }) => {
    const { requested, origin } = event
    endFetch(state, requested, origin)
    if ('peer' in origin) state.lastPeerMessageAt = now
    const verified = verifySignedBundle({ document: event.document, trustedKeys: state.trustedKeys, activeVersion: state.activeBundle?.bundle.version })
    const error = verified.ok ? findMismatch(state, requested, origin, verified.value) : verified.error
    if (verified.ok && error === undefined) return activateBundle(state, verified.value, origin, now, random)
    // A body that was superseded by a newer one during the fetch is not an error of its origin.
    if (error === undefined || !isNewer(state, requested)) return []
    backOffOrigin(state, { requested, origin }, now, true)
    return reportRefusal(state, requested, origin, error, now)
  },

  [RolloutEventKind.BodyFailed]: ({ state, event, now }) => {
    endFetch(state, event.requested, event.origin)
    backOffOrigin(state, event, now, false)
    return []
  },

  [RolloutEventKind.Resumed]: () => []
}

function startVersionSync (state: RolloutState, now: number): void {
  state.versionSync = createVersionSync(state.activeBundle === undefined ? VersionSyncReason.Boot : VersionSyncReason.Pause, now, state.lastRequestNumber + 1)
  // Requests from before the pause are repeated, since their responses may be as old as the pause.
  state.headRead.pending = undefined
  state.headRead.nextAt = now
  state.pendingFetch = undefined
}

function continueVersionSync (state: RolloutState, now: number, random: Random): RolloutCommand[] {
  const versionSync = advanceVersionSync(state, now)
  if (versionSync === undefined || now < versionSync.nextQueryAt) return []
  const unansweredPeers = state.peers.filter(peer => versionSync.peerHeads.get(peer) == null)
  if (unansweredPeers.length === 0) return []
  versionSync.nextQueryAt = now + peerQueryIntervalMilliseconds
  return [{ kind: RolloutCommandKind.QueryPeers, peers: sample(random, unansweredPeers, gossipFanout), request: allocateRequestNumber(state) }]
}

function continueHeadRead (state: RolloutState, now: number, random: Random): RolloutCommand[] {
  const { headRead } = state
  const hosts = { liveHosts: state.peers.length + 1, listedHosts: state.listedHosts }
  // If the host lost its peers after the read was scheduled, it must read more often.
  headRead.nextAt = Math.min(headRead.nextAt, now + 1.5 * computeMeanHeadInterval(hosts))
  if (headRead.pending !== undefined || now < headRead.nextAt) return []
  const request = allocateRequestNumber(state)
  headRead.nextAt = now + computeJitteredHeadInterval(hosts, random)
  headRead.pending = { request, since: now }
  return [{ kind: RolloutCommandKind.ReadHead, request }]
}

function continueFetch (state: RolloutState, now: number, random: Random): RolloutCommand[] {
  if (state.pendingFetch !== undefined) return []
  state.pendingFetch = selectFetch(state, now, random)
  if (state.pendingFetch === undefined) return []
  const { requested, origin } = state.pendingFetch
  return 'peer' in origin
    ? [{ kind: RolloutCommandKind.FetchBodyFromPeer, requested, peer: origin.peer }]
    : [{ kind: RolloutCommandKind.FetchBodyFromStore, requested }]
}

function allocateRequestNumber (state: RolloutState): number {
  state.lastRequestNumber += 1
  return state.lastRequestNumber
}

function recordHeadReadFailure (state: RolloutState, request: number): void {
  if (state.headRead.pending?.request === request) state.headRead.pending = undefined
  state.headRead.failed = true
  if (state.versionSync !== undefined && request >= state.versionSync.firstRequest) state.versionSync.headReadFailed = true
}

// During a start a heartbeat counts as a response, since a new process has no stale messages. After a pause
// it may have been buffered in a socket, so that only the response to a new query counts.
function recordPeerHead ({ versionSync }: RolloutState, { peer, head, request }: Extract<RolloutEvent, { kind: RolloutEventKind.PeerVersion }>): void {
  if (versionSync === undefined) return
  const isFresh = request === undefined ? versionSync.reason === VersionSyncReason.Boot : request >= versionSync.firstRequest
  const known = versionSync.peerHeads.get(peer)
  if (isFresh && (head?.version ?? 0) >= (known?.version ?? 0)) versionSync.peerHeads.set(peer, head)
}

function updateIsolation (state: RolloutState, now: number): void {
  const { headRead, lastPeerMessageAt } = state
  const isolated = headRead.failed && now - lastPeerMessageAt > peerSilenceMilliseconds
  state.isolatedSince = isolated ? Math.max(headRead.lastSuccessAt, lastPeerMessageAt) : undefined
}

function endFetch (state: RolloutState, requested: BundleHead, origin: BodyOrigin): void {
  const { pendingFetch } = state
  const isPending = pendingFetch?.requested.digest === requested.digest && pendingFetch.requested.version === requested.version && formatOrigin(pendingFetch.origin) === formatOrigin(origin)
  if (isPending) state.pendingFetch = undefined
}

// A correctly signed document may still differ from the requested one: a peer may replay an older one, or
// serve the bundle of an operator who lost a concurrent rollout of the same version.
function findMismatch (state: RolloutState, requested: BundleHead, origin: BodyOrigin, { bundle, digest }: VerifiedBundle): CodedError | undefined {
  if (bundle.version < requested.version) return { code: ResultCode.BundleVersionStale, message: `received version ${bundle.version} instead of ${requested.version}`, key: 'version', expected: `at least ${requested.version}` }
  const expectedDigests = [requested, state.head].filter(head => head?.version === bundle.version).map(head => head?.digest)
  const mustEqual = origin.source === BodySource.Store ? requested.digest : expectedDigests.find(expected => expected !== digest) ?? digest
  if (mustEqual !== digest) return { code: ResultCode.BundleDigestMismatch, message: `received another bundle of version ${bundle.version}`, key: 'digest', expected: mustEqual }
  return undefined
}

function activateBundle (state: RolloutState, verified: VerifiedBundle, origin: BodyOrigin, now: number, random: Random): RolloutCommand[] {
  const { version } = verified.bundle
  const previousVersion = state.activeBundle?.bundle.version ?? 0
  checkInvariant({
    invariant: Invariant.BundleNeverOlder,
    holds: version > previousVersion,
    detail: () => `version ${version} would replace ${previousVersion}`
  })
  state.activeBundle = verified
  pruneCandidates(state)
  recordInHistory(state.history, { version, digest: verified.digest, origin, at: now })
  const others = state.peers.filter(peer => !('peer' in origin) || peer !== origin.peer)
  const announcedPeers = sample(random, others, gossipFanout)
  const announcements: RolloutCommand[] = announcedPeers.length === 0 ? [] : [{ kind: RolloutCommandKind.AnnounceToPeers, peers: announcedPeers, head: { version, digest: verified.digest } }]
  return [{ kind: RolloutCommandKind.ActivateBundle, verified }, ...announcements]
}

// The table can name another bundle of the active version, or an older head, only after it lost data or was
// written by another program. The host keeps its active bundle and reports the conflict to operators.
function reportConflict (state: RolloutState, head: BundleHead, now: number): RolloutCommand[] {
  const activeHead = getActiveHead(state)
  if (activeHead === undefined || head.version !== activeHead.version || head.digest === activeHead.digest) return []
  return reportRefusal(state, head, { source: BodySource.Store }, {
    code: ResultCode.BundleDigestMismatch, message: `the head names another bundle of version ${head.version} than the active one`, key: 'digest', expected: activeHead.digest
  }, now)
}

function reportRefusal (state: RolloutState, refused: BundleHead, origin: BodyOrigin, error: CodedError, now: number): RolloutCommand[] {
  const isNew = recordInHistory(state.history, { ...refused, origin, at: now, refusal: error.code })
  return isNew ? [{ kind: RolloutCommandKind.ReportRefusal, refused, origin, error }] : []
}
