// Guards against a host that reads the head too often or too rarely, activates a bundle that is outdated or not
// confirmed, or serves with an outdated one, in cases that the randomised simulation reaches too rarely.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '@siskinbeam/random/createRandom'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { SignedBundle } from '@siskinbeam/signatures/signedBundle'
import { recordInHistory, type BundleHistoryEntry } from '../src/bundleHistory.js'
import { BodySource, RolloutCommandKind, RolloutEventKind, type RolloutCommand, type RolloutEvent } from '../src/rolloutMessages.js'
import { createRolloutState, mayServe, getActiveHead, getRolloutStatus } from '../src/rolloutState.js'
import { stepRollout } from '../src/stepRollout.js'
import { headOf, makeSigned, trustedKeys } from './testBundles.js'

const bundles = [1, 2, 3, 4, 5, 6].map(version => makeSigned(version))
const bundle = (version: number): SignedBundle => bundles[version - 1]!
const store = { source: BodySource.Store } as const
const digest = '0'.repeat(64)

const createHost = (peers: string[], listedHosts = peers.length + 1, seed = 20_261_204) => {
  const clock = { now: 0 }
  const state = createRolloutState({ trustedKeys, now: 0 })
  const random = createRandom(seed)
  const step = (event: RolloutEvent): RolloutCommand[] => stepRollout({ state, event, now: clock.now, random })
  const tick = (milliseconds = 0): RolloutCommand[] => {
    clock.now += milliseconds
    return step({ kind: RolloutEventKind.Tick, peers, listedHosts })
  }
  const headRead = (version: number, request = state.headRead.pending!.request): RolloutCommand[] => step({ kind: RolloutEventKind.HeadRead, request, head: headOf(bundle(version)) })
  const peerHas = (peer: string, version: number, request?: number): RolloutCommand[] =>
    step({ kind: RolloutEventKind.PeerVersion, peer, head: version === 0 ? null : headOf(bundle(version)), request })
  const body = (requested: SignedBundle, document = requested, peer?: string): RolloutCommand[] =>
    step({ kind: RolloutEventKind.BodyReceived, requested: headOf(requested), origin: peer === undefined ? store : { source: BodySource.Peer, peer }, document })
  const headFails = (): RolloutCommand[] => step({ kind: RolloutEventKind.HeadReadFailed, request: state.headRead.pending!.request })
  const bootWith = (version: number): void => { tick(); headRead(version); body(bundle(version)) }
  return { state, clock, step, tick, headRead, headFails, peerHas, body, bootWith, version: () => getActiveHead(state)?.version, serves: () => mayServe(state, clock.now) }
}
const kinds = (commands: RolloutCommand[]): RolloutCommandKind[] => commands.map(({ kind }) => kind)
const refusals = (commands: RolloutCommand[]): ResultCode[] => commands.flatMap(command => command.kind === RolloutCommandKind.ReportRefusal ? [command.error.code] : [])

const listReads = (host: ReturnType<typeof createHost>, ticks: number): number[] => Array.from({ length: ticks }, () =>
  kinds(host.tick(50)).filter(kind => kind === RolloutCommandKind.ReadHead).map(() => { host.headRead(1); return host.clock.now })).flat()

test('all hosts together read the head about 4 times a second, whatever their number', () => [1, 20, 400].forEach(hostCount => {
  const peers = Array.from({ length: hostCount - 1 }, (_, index) => `host-${index}`)
  const reads = Array.from({ length: hostCount }, (_, seed) => listReads(createHost(peers, hostCount, seed), 6_000)).flat()
  const perSecond = reads.filter(time => time > 200_000).length / 100
  assert.ok(perSecond > 3 && perSecond < 4.5, `${hostCount} hosts read ${perSecond} times a second`)
}))

test('a host that lost its peers reads the head within 3 s, even if there are many hosts', () => {
  const reads = listReads(createHost([], 400), 400)
  const gaps = reads.slice(1).map((time, index) => time - reads[index]!)
  assert.ok(Math.max(...gaps) <= 3_050 && Math.min(...gaps) >= 1_000, `gaps ${gaps.join(' ')}`)
})

test('during a store outage a new host uses the highest version once two peers with a bundle have responded', () => {
  const host = createHost(['a', 'b', 'c', 'd'])
  host.tick()
  assert.deepEqual([...host.headFails(), ...host.peerHas('a', 3), ...host.peerHas('b', 0)], [])
  assert.deepEqual(host.peerHas('c', 5)[0], { kind: RolloutCommandKind.FetchBodyFromPeer, requested: headOf(bundle(5)), peer: 'c' })
  assert.deepEqual(refusals(host.body(bundle(5), bundle(4), 'c')), [ResultCode.BundleVersionStale])
  assert.equal(host.version(), undefined)
  host.peerHas('d', 5)
  host.body(bundle(5), bundle(5), 'd')
  assert.ok(host.version() === 5 && host.serves())
})

test('a new host uses the bundle of its peers if the body that the head names cannot be fetched', () => {
  const host = createHost(['a', 'b'])
  host.tick()
  assert.ok(kinds(host.headRead(2)).includes(RolloutCommandKind.FetchBodyFromStore))
  assert.deepEqual(kinds([...host.peerHas('a', 1), ...host.peerHas('b', 1)]), [])
  const next = host.step({ kind: RolloutEventKind.BodyFailed, requested: headOf(bundle(2)), origin: store })
  assert.deepEqual(next.map(command => 'requested' in command && command.requested), [headOf(bundle(1))])
})

test('one response suffices only if no other host is known, and no response never suffices', () => {
  const attempt = (peers: string[], listedHosts: number): RolloutCommandKind[] => {
    const host = createHost(peers, listedHosts)
    return kinds([...host.tick(), ...host.headFails(), ...peers.flatMap(peer => host.peerHas(peer, 3)), ...host.tick(700)])
      .filter(kind => kind !== RolloutCommandKind.ReadHead && kind !== RolloutCommandKind.QueryPeers)
  }
  assert.deepEqual(attempt(['a'], 2), [RolloutCommandKind.FetchBodyFromPeer])
  assert.deepEqual(attempt(['a'], 20), [])
  assert.deepEqual(attempt([], 1), [])
})

test('the bundle that the head names is fetched before a greater version that a peer announces', () => {
  const host = createHost(['a', 'b'])
  host.bootWith(1)
  host.step({ kind: RolloutEventKind.PeerVersion, peer: 'a', head: { version: 900, digest } })
  host.headRead(2, 99)
  assert.deepEqual(host.step({ kind: RolloutEventKind.BodyFailed, requested: { version: 900, digest }, origin: { source: BodySource.Peer, peer: 'a' } }), [{ kind: RolloutCommandKind.FetchBodyFromStore, requested: headOf(bundle(2)) }])
})

test('a correctly signed bundle is refused if the head names another bundle of the same version', () => {
  const host = createHost(['a', 'b'])
  host.bootWith(1)
  host.headRead(2, 99)
  assert.deepEqual(refusals(host.body(bundle(2), makeSigned(2, 8))), [ResultCode.BundleDigestMismatch])
  assert.deepEqual(refusals(host.body({ ...bundle(2), digest }, makeSigned(2, 8), 'a')), [ResultCode.BundleDigestMismatch])
  assert.equal(host.version(), 1)
})

test('after a pause a host serves only after a new response, and not after a buffered one', () => {
  const host = createHost(['a', 'b', 'c'])
  host.bootWith(1)
  assert.ok(host.serves())
  host.clock.now += 60_000
  assert.ok(!host.serves(), 'before the first step')
  host.headRead(1, 1)
  ;['a', 'b'].forEach(peer => host.peerHas(peer, 1))
  assert.ok(!host.serves(), 'after buffered responses')
  host.headRead(2)
  assert.ok(!host.serves(), 'before the newer bundle is active')
  host.body(bundle(2))
  assert.ok(host.version() === 2 && host.serves())
  host.step({ kind: RolloutEventKind.Resumed })
  assert.ok(!host.serves())
  ;[600, 600].forEach(host.tick)
  assert.ok(host.serves(), 'a host that reaches neither store nor peers serves after 1 s')
})

test('an isolated host reports the duration of its isolation until the store or a peer responds', () => {
  const host = createHost(['a', 'b'])
  host.bootWith(1)
  Array.from({ length: 100 }, () => host.tick(100))
  assert.equal(getRolloutStatus(host.state, host.clock.now).isolatedMilliseconds, 10_000)
  assert.ok(host.serves())
  assert.equal(kinds(host.peerHas('a', 0))[0], RolloutCommandKind.AnnounceToPeers, 'a peer with an older version gets an announcement')
  assert.equal(getRolloutStatus(host.state, host.clock.now).isolatedMilliseconds, undefined)
})

test('the bundle history is bounded and records a repeated refusal once a minute', () => {
  const history: BundleHistoryEntry[] = []
  const add = (version: number, at: number): boolean => recordInHistory(history, { version, digest, origin: store, at, refusal: ResultCode.BundleInvalid })
  assert.deepEqual([add(1, 0), add(1, 59_000), add(1, 61_000)], [true, false, true])
  Array.from({ length: 100 }, (_, index) => add(index + 2, 70_000))
  assert.deepEqual([history.length, history.at(-1)?.version], [32, 101])
})
