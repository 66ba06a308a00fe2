// Simulates the rollout state machines of several hosts in virtual time, with store outages, lost messages,
// paused and restarted hosts, and one malicious peer that sends forged and replayed bundles.
import assert from 'node:assert/strict'
import { createRandom, pickIndex, sample } from '@siskinbeam/random/createRandom'
import type { SignedBundle } from '@siskinbeam/signatures/signedBundle'
import type { BundleHead } from '../src/bundleStores.js'
import { BodySource, RolloutCommandKind, RolloutEventKind, type BodyOrigin, type RolloutCommand, type RolloutEvent } from '../src/rolloutMessages.js'
import { createRolloutState, findActiveDocument, mayServe, getActiveHead, type RolloutState } from '../src/rolloutState.js'
import { stepRollout } from '../src/stepRollout.js'
import { headOf, makeForged, makeSigned, trustedKeys } from './testBundles.js'

type Run<Command = RolloutCommand> = (host: SimulatedHost, command: Command) => void
const convergeMilliseconds = 5_000
const maliciousPeer = 'forger'

/** `activations` lists the versions activated since the start of this process. */
interface SimulatedHost { name: string, boot: number, state: RolloutState, upSince: number, pausedUntil: number, activations: Array<{ version: number, at: number }> }

export const simulateRollouts = (seed: number, hostCount: number, minimumSteps: number) => {
  const random = createRandom(seed)
  const between = (low: number, high: number): number => low + random() * (high - low)
  const pick = <Element>(elements: Element[]): Element => elements[pickIndex(random, elements.length)]!
  const counts = { steps: 0, refusals: 0, headReads: 0, pauses: 0, outages: 0, milliseconds: 0 }
  const scheduledActions = new Map<number, Array<() => void>>()
  const names = [...Array.from({ length: hostCount }, (_, index) => `host-${index}`), maliciousPeer]
  let now = 0
  const scheduleAfter = (delay: number, run: () => void): void => {
    const time = Math.floor(now + Math.max(1, delay))
    scheduledActions.set(time, [...scheduledActions.get(time) ?? [], run])
  }
  const repeat = (interval: () => number, run: () => void, first = interval()): void => scheduleAfter(first, () => { run(); repeat(interval, run) })
  const [table, objects] = [{ downUntil: 0 }, { downUntil: 0 }]
  const rollouts: Array<{ document: SignedBundle, at: number }> = []
  let forged: SignedBundle[] = []
  const currentHead = (): BundleHead | null => rollouts.length === 0 ? null : headOf(rollouts.at(-1)!.document)
  const start = (name: string, boot: number): SimulatedHost => ({ name, boot, state: createRolloutState({ trustedKeys, now }), upSince: now, pausedUntil: 0, activations: [] })
  const hosts = new Map(names.filter(name => name !== maliciousPeer).map(name => [name, start(name, 0)]))
  const isPaused = (host: SimulatedHost): boolean => host.pausedUntil > now
  const deliver = (name: string, boot: number, event: RolloutEvent): void => {
    const host = hosts.get(name)
    if (host?.boot !== boot) return
    // Messages to a paused host are buffered in its sockets.
    if (isPaused(host)) return scheduleAfter(host.pausedUntil - now, () => deliver(name, boot, event))
    counts.steps += 1
    stepRollout({ state: host.state, event, now, random }).forEach(command => (commandHandlers[command.kind] as Run)(host, command))
    checkHost(host)
  }
  const send = (name: string, event: RolloutEvent): void => {
    const boot = hosts.get(name)?.boot ?? 0
    if (random() >= 0.05) scheduleAfter(between(1, 15), () => deliver(name, boot, event))
  }
  const chooseMaliciousHead = (): BundleHead | null => random() < 0.5 || forged.length === 0 ? currentHead() : headOf(pick(forged))
  const versionOf = (peer: string): BundleHead | null => peer === maliciousPeer ? chooseMaliciousHead() : getActiveHead(hosts.get(peer)!.state) ?? null
  const documentOf = (peer: string, version: number): SignedBundle | undefined =>
    peer === maliciousPeer ? pick([...forged, pick(rollouts).document, rollouts[0]!.document]) : findActiveDocument(hosts.get(peer)!.state, version)
  const isResponsive = (peer: string): boolean => peer === maliciousPeer || !isPaused(hosts.get(peer)!)
  const fetchBody = (host: SimulatedHost, requested: BundleHead, origin: BodyOrigin, find: () => SignedBundle | undefined): void => scheduleAfter(between(1, 15), () => {
    const document = find()
    send(host.name, document === undefined ? { kind: RolloutEventKind.BodyFailed, requested, origin } : { kind: RolloutEventKind.BodyReceived, requested, origin, document })
  })
  const commandHandlers: { [Kind in RolloutCommandKind]: Run<Extract<RolloutCommand, { kind: Kind }>> } = {
    [RolloutCommandKind.ReadHead]: (host, { request }) => {
      counts.headReads += 1
      scheduleAfter(between(1, 15), () => {
        if (table.downUntil <= now) send(host.name, { kind: RolloutEventKind.HeadRead, request, head: currentHead() })
        else if (random() < 0.5) send(host.name, { kind: RolloutEventKind.HeadReadFailed, request })
      })
    },
    [RolloutCommandKind.QueryPeers]: (host, { peers, request }) => peers.forEach(peer => scheduleAfter(between(1, 15), () => {
      if (isResponsive(peer)) send(host.name, { kind: RolloutEventKind.PeerVersion, peer, head: versionOf(peer), request })
    })),
    [RolloutCommandKind.FetchBodyFromStore]: (host, { requested }) => fetchBody(host, requested, { source: BodySource.Store }, () =>
      objects.downUntil > now ? undefined : rollouts.find(({ document }) => document.digest === requested.digest)?.document),
    [RolloutCommandKind.FetchBodyFromPeer]: (host, { requested, peer }) => {
      if (isResponsive(peer)) fetchBody(host, requested, { source: BodySource.Peer, peer }, () => documentOf(peer, requested.version))
    },
    [RolloutCommandKind.AnnounceToPeers]: (host, { peers, head }) => peers.forEach(peer => send(peer, { kind: RolloutEventKind.PeerVersion, peer: host.name, head })),
    [RolloutCommandKind.ActivateBundle]: (host, { verified }) => {
      const { version } = verified.bundle
      assert.ok(rollouts.some(({ document }) => document.digest === verified.digest), `${host.name} at ${now} ms: activated version ${version}, which was never accepted`)
      assert.ok(version > (host.activations.at(-1)?.version ?? 0), `${host.name} at ${now} ms: activated version ${version} after ${host.activations.at(-1)?.version}`)
      host.activations.push({ version, at: now })
    },
    [RolloutCommandKind.ReportRefusal]: () => { counts.refusals += 1 }
  }
  // The minimum version of a reachable host: the version that the head named 5 s ago, if the stores have been
  // available since, and the version of any other host 5 s ago, if both hosts have been up since.
  const requiredVersion = (since: number): number => {
    const storesUp = Math.max(table.downUntil, objects.downUntil) <= since
    const headVersion = storesUp ? rollouts.filter(({ at }) => at <= since).at(-1)?.document.body.version as number | undefined ?? 0 : 0
    const activeVersions = [...hosts.values()].filter(other => !isPaused(other) && other.upSince <= since)
      .map(other => other.activations.filter(({ at }) => at <= since).at(-1)?.version ?? 0)
    return Math.max(headVersion, ...activeVersions)
  }
  const checkHost = (host: SimulatedHost): void => {
    const version = host.activations.at(-1)?.version ?? 0
    const recentlyResumed = host.pausedUntil > 0 && now - host.pausedUntil < 1_000
    if (now - host.upSince <= convergeMilliseconds && !(recentlyResumed && mayServe(host.state, now))) return
    const required = requiredVersion((recentlyResumed ? host.pausedUntil : now) - convergeMilliseconds)
    assert.ok(version >= required, `${host.name} at ${now} ms: version ${version} is active, but ${required} was available for 5 s`)
  }
  const tick = (name: string): void => {
    const host = hosts.get(name)!
    if (!isPaused(host)) deliver(name, host.boot, { kind: RolloutEventKind.Tick, peers: names.filter(other => other !== name), listedHosts: names.length })
  }
  const sendHeartbeats = (name: string): void => {
    if (!isResponsive(name)) return
    sample(random, names.filter(other => other !== name), 3).forEach(peer => {
      send(peer, { kind: RolloutEventKind.PeerVersion, peer: name, head: versionOf(name) })
      if (isResponsive(peer)) send(name, { kind: RolloutEventKind.PeerVersion, peer, head: versionOf(peer) })
    })
  }
  const rollOut = (): void => {
    if (Math.max(table.downUntil, objects.downUntil) > now) return
    const version = rollouts.length + 1
    const document = makeSigned(version)
    rollouts.push({ document, at: now })
    forged = [...makeForged(version), ...makeForged(version + 1), ...makeForged(version + 1_000)]
  }
  const faults: Array<() => void> = [
    () => { table.downUntil = now + between(500, 12_000); counts.outages += 1 },
    () => { objects.downUntil = now + between(500, 12_000); counts.outages += 1 },
    () => {
      const pausedUntil = Math.floor(now + between(200, 9_000))
      Object.assign(pick([...hosts.values()].filter(host => !isPaused(host))), { pausedUntil, upSince: pausedUntil })
      counts.pauses += 1
    },
    () => [pick([...hosts.values()])].forEach(({ name, boot }) => hosts.set(name, start(name, boot + 1)))
  ]
  const injectFault = (): void => {
    const unsettled = [...hosts.values()].filter(host => host.upSince > now - convergeMilliseconds).length
    if (now > 10_000 && unsettled < 3) pick(faults)()
  }

  repeat(() => between(500, 7_000), rollOut)
  repeat(() => between(500, 4_000), injectFault)
  names.forEach(name => repeat(() => 500, () => sendHeartbeats(name), between(1, 500)))
  hosts.forEach(({ name }) => repeat(() => 100, () => tick(name), between(1, 100)))
  while (counts.steps < minimumSteps) {
    now += 1
    scheduledActions.get(now)?.forEach(action => action())
    scheduledActions.delete(now)
  }
  return { ...counts, rollouts: rollouts.length, restarts: [...hosts.values()].reduce((sum, { boot }) => sum + boot, 0), milliseconds: now }
}
