// Decides which bundle is in force on a host. Versions are monotonic and every body is verified by the
// host itself. A newer version is learnt from the head of the table or from peers, and fetched from the
// object store or from peers, so that either path suffices. A host that starts, or was paused, asks
// for the present version before it serves.
import { checkInvariant, Invariant } from '@siskinbeam/invariants/checkInvariant'
import { sample, type Random } from '@siskinbeam/random/createRandom'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { CodedError } from '@siskinbeam/result-codes/codedError'
import { verifySignedBundle, type VerifiedBundle } from '@siskinbeam/signatures/verifySignedBundle'
import type { BundleHead } from './bundleStores.js'
import { describeOrigin, rememberSeen } from './bundleHistory.js'
import { blockOrigin, chooseFetch, dropCandidates, fetchTimeoutMilliseconds, isNewer, noteCandidate } from './candidates.js'
import { computeHeadInterval, drawHeadInterval } from './headSchedule.js'
import { BodySource, RolloutCommandKind, RolloutEventKind, type BodyOrigin, type RolloutCommand, type RolloutEvent } from './rolloutMessages.js'
import { createInquiry, InquiryReason, pauseThresholdMilliseconds, readHeadInForce, type RolloutState } from './rolloutState.js'
import { advanceInquiry } from './inquiry.js'

/** How many peers are told of a new version or asked for theirs. */
const peersPerMessage = 3
const headTimeoutMilliseconds = 1_000
const askAgainMilliseconds = 1_000
// Heartbeats come every 500 ms from several peers; 3 s without one is the time after which peers are suspected.
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

/** Takes one event and returns the commands that follow from it, in the order in which to run them. */
export function stepRollout ({ state, event, now, random }: StepRolloutOptions): RolloutCommand[] {
  const paused = event.kind === RolloutEventKind.Resumed || now - state.steppedAt > pauseThresholdMilliseconds
  state.steppedAt = now
  if (paused) startInquiry(state, now)
  const handle = handlers[event.kind] as Handler<RolloutEventKind>
  const commands = handle({ state, event, now, random })
  return [...commands, ...continueInquiry(state, now, random), ...continueHeadRead(state, now, random), ...continueFetch(state, now, random)]
}

const handlers: { [Kind in RolloutEventKind]: Handler<Kind> } = {
  [RolloutEventKind.Tick]: ({ state, event, now }) => {
    state.peers = event.peers
    state.listedHosts = event.listedHosts
    const { pending } = state.headRead
    if (pending !== undefined && now - pending.since > headTimeoutMilliseconds) noteHeadFailure(state, pending.request)
    if (state.fetch !== undefined && now - state.fetch.since > fetchTimeoutMilliseconds) {
      blockOrigin(state, state.fetch, now, false)
      state.fetch = undefined
    }
    noteIsolation(state, now)
    return []
  },

  [RolloutEventKind.HeadRead]: ({ state, event, now }) => {
    const { headRead, inquiry } = state
    if (headRead.pending?.request === event.request) headRead.pending = undefined
    headRead.failed = false
    headRead.answeredAt = now
    noteIsolation(state, now)
    if (inquiry !== undefined && event.request >= inquiry.firstRequest) inquiry.headAnswered = true
    const { head } = event
    if (head === null) return []
    // Two reads can be answered out of order, and the head never moves back.
    if (head.version >= (state.head?.version ?? 0)) state.head = head
    noteCandidate(state, state.head ?? head)
    return reportConflict(state, head, now)
  },

  [RolloutEventKind.HeadReadFailed]: ({ state, event, now }) => {
    noteHeadFailure(state, event.request)
    noteIsolation(state, now)
    return []
  },

  [RolloutEventKind.PeerVersion]: ({ state, event, now }) => {
    state.peerHeardAt = now
    noteIsolation(state, now)
    noteAnswer(state, event)
    const inForce = readHeadInForce(state)
    // A host that starts takes the version of peers only in an outage of the store (see inquiry.ts).
    if (inForce !== undefined && event.head !== null) noteCandidate(state, event.head, event.peer)
    const isBehind = inForce !== undefined && (event.head?.version ?? 0) < inForce.version
    return isBehind ? [{ kind: RolloutCommandKind.TellPeers, peers: [event.peer], head: inForce }] : []
  },

  [RolloutEventKind.BodyReceived]: ({ state, event, now, random }) => {
    const { requested, origin } = event
    endFetch(state, requested, origin)
    if ('peer' in origin) state.peerHeardAt = now
    const verified = verifySignedBundle({ document: event.document, trustedKeys: state.trustedKeys, versionInForce: state.inForce?.bundle.version })
    const error = verified.ok ? findMismatch(state, requested, origin, verified.value) : verified.error
    if (verified.ok && error === undefined) return putInForce(state, verified.value, origin, now, random)
    // A body that was overtaken by a newer one while it was fetched is no fault of its origin.
    if (error === undefined || !isNewer(state, requested)) return []
    blockOrigin(state, { requested, origin }, now, true)
    return reportRefusal(state, requested, origin, error, now)
  },

  [RolloutEventKind.BodyFailed]: ({ state, event, now }) => {
    endFetch(state, event.requested, event.origin)
    blockOrigin(state, event, now, false)
    return []
  },

  [RolloutEventKind.Resumed]: () => []
}

function startInquiry (state: RolloutState, now: number): void {
  state.inquiry = createInquiry(state.inForce === undefined ? InquiryReason.Boot : InquiryReason.Pause, now, state.lastRequest + 1)
  // What was asked before the pause is asked again: the answers may be as old as the pause.
  state.headRead.pending = undefined
  state.headRead.nextAt = now
  state.fetch = undefined
}

function continueInquiry (state: RolloutState, now: number, random: Random): RolloutCommand[] {
  const inquiry = advanceInquiry(state, now)
  if (inquiry === undefined || now < inquiry.askAgainAt) return []
  const unheard = state.peers.filter(peer => inquiry.answers.get(peer) == null)
  if (unheard.length === 0) return []
  inquiry.askAgainAt = now + askAgainMilliseconds
  return [{ kind: RolloutCommandKind.AskPeers, peers: sample(random, unheard, peersPerMessage), request: takeRequest(state) }]
}

function continueHeadRead (state: RolloutState, now: number, random: Random): RolloutCommand[] {
  const { headRead } = state
  const hosts = { liveHosts: state.peers.length + 1, listedHosts: state.listedHosts }
  // The host may have lost its peers since the read was scheduled, and then has to read more often.
  headRead.nextAt = Math.min(headRead.nextAt, now + 1.5 * computeHeadInterval(hosts))
  if (headRead.pending !== undefined || now < headRead.nextAt) return []
  const request = takeRequest(state)
  headRead.nextAt = now + drawHeadInterval(hosts, random)
  headRead.pending = { request, since: now }
  return [{ kind: RolloutCommandKind.ReadHead, request }]
}

function continueFetch (state: RolloutState, now: number, random: Random): RolloutCommand[] {
  if (state.fetch !== undefined) return []
  state.fetch = chooseFetch(state, now, random)
  if (state.fetch === undefined) return []
  const { requested, origin } = state.fetch
  return 'peer' in origin
    ? [{ kind: RolloutCommandKind.FetchBodyFromPeer, requested, peer: origin.peer }]
    : [{ kind: RolloutCommandKind.FetchBodyFromStore, requested }]
}

function takeRequest (state: RolloutState): number {
  state.lastRequest += 1
  return state.lastRequest
}

function noteHeadFailure (state: RolloutState, request: number): void {
  if (state.headRead.pending?.request === request) state.headRead.pending = undefined
  state.headRead.failed = true
  if (state.inquiry !== undefined && request >= state.inquiry.firstRequest) state.inquiry.headFailed = true
}

// A heartbeat counts as an answer while the host starts: a new process holds no old messages. After a
// pause it may have lain in a socket buffer, so only the answer to a new question counts.
function noteAnswer ({ inquiry }: RolloutState, { peer, head, request }: Extract<RolloutEvent, { kind: RolloutEventKind.PeerVersion }>): void {
  if (inquiry === undefined) return
  const isFresh = request === undefined ? inquiry.reason === InquiryReason.Boot : request >= inquiry.firstRequest
  const known = inquiry.answers.get(peer)
  if (isFresh && (head?.version ?? 0) >= (known?.version ?? 0)) inquiry.answers.set(peer, head)
}

function noteIsolation (state: RolloutState, now: number): void {
  const { headRead, peerHeardAt } = state
  const isolated = headRead.failed && now - peerHeardAt > peerSilenceMilliseconds
  state.isolatedSince = isolated ? Math.max(headRead.answeredAt, peerHeardAt) : undefined
}

function endFetch (state: RolloutState, requested: BundleHead, origin: BodyOrigin): void {
  const { fetch } = state
  const isPending = fetch?.requested.digest === requested.digest && fetch.requested.version === requested.version && describeOrigin(fetch.origin) === describeOrigin(origin)
  if (isPending) state.fetch = undefined
}

// A document can be signed correctly and still not be the one asked for: an older one replayed by a
// peer, or the bundle of an operator who lost the race for the same version.
function findMismatch (state: RolloutState, requested: BundleHead, origin: BodyOrigin, { bundle, digest }: VerifiedBundle): CodedError | undefined {
  if (bundle.version < requested.version) return { code: ResultCode.BundleVersionStale, message: `got version ${bundle.version} for ${requested.version}`, key: 'version', expected: `at least ${requested.version}` }
  const expectedDigests = [requested, state.head].filter(head => head?.version === bundle.version).map(head => head?.digest)
  const mustEqual = origin.source === BodySource.Store ? requested.digest : expectedDigests.find(expected => expected !== digest) ?? digest
  if (mustEqual !== digest) return { code: ResultCode.BundleDigestMismatch, message: `got another bundle of version ${bundle.version}`, key: 'digest', expected: mustEqual }
  return undefined
}

function putInForce (state: RolloutState, verified: VerifiedBundle, origin: BodyOrigin, now: number, random: Random): RolloutCommand[] {
  const { version } = verified.bundle
  const before = state.inForce?.bundle.version ?? 0
  checkInvariant({
    invariant: Invariant.BundleNeverOlder,
    holds: version > before,
    detail: () => `version ${version} would replace ${before}`
  })
  state.inForce = verified
  dropCandidates(state)
  rememberSeen(state.seen, { version, digest: verified.digest, origin, at: now })
  const others = state.peers.filter(peer => !('peer' in origin) || peer !== origin.peer)
  const told = sample(random, others, peersPerMessage)
  const tell: RolloutCommand[] = told.length === 0 ? [] : [{ kind: RolloutCommandKind.TellPeers, peers: told, head: { version, digest: verified.digest } }]
  return [{ kind: RolloutCommandKind.PutInForce, verified }, ...tell]
}

// The table can hold another bundle of the version in force, or an older head, only after it lost data
// or was written by other programs. The host keeps its bundle; operators have to see it.
function reportConflict (state: RolloutState, head: BundleHead, now: number): RolloutCommand[] {
  const inForce = readHeadInForce(state)
  if (inForce === undefined || head.version !== inForce.version || head.digest === inForce.digest) return []
  return reportRefusal(state, head, { source: BodySource.Store }, {
    code: ResultCode.BundleDigestMismatch, message: `the head names another bundle of version ${head.version} than the one in force`, key: 'digest', expected: inForce.digest
  }, now)
}

function reportRefusal (state: RolloutState, refused: BundleHead, origin: BodyOrigin, error: CodedError, now: number): RolloutCommand[] {
  const isNew = rememberSeen(state.seen, { ...refused, origin, at: now, refusal: error.code })
  return isNew ? [{ kind: RolloutCommandKind.ReportRefusal, refused, origin, error }] : []
}
