// Several hosts' rollout machines on virtual time, with store outages, lost messages, frozen and
// restarted hosts, and one peer that sends forged and replayed bundles.
import assert from 'node:assert/strict'
import { createRandom, pickIndex, sample } from '@siskinbeam/random/createRandom'
import type { SignedBundle } from '@siskinbeam/signatures/signedBundle'
import type { BundleHead } from '../src/bundleStores.js'
import { BodySource, RolloutCommandKind, RolloutEventKind, type BodyOrigin, type RolloutCommand, type RolloutEvent } from '../src/rolloutMessages.js'
import { createRolloutState, findDocument, mayServe, readHeadInForce, type RolloutState } from '../src/rolloutState.js'
import { stepRollout } from '../src/stepRollout.js'
import { headOf, makeForged, makeSigned, trustedKeys } from './testBundles.js'

const convergeMilliseconds = 5_000
const forger = 'forger'

interface SimulatedHost {
  name: string
  boot: number
  state: RolloutState
  upSince: number
  frozenUntil: number
  /** Versions put in force since the start of this process. */
  held: Array<{ version: number, at: number }>
}

export interface SimulationCounts { steps: number, rollouts: number, refusals: number, headReads: number, restarts: number, freezes: number, outages: number, milliseconds: number }

export const runSimulation = (seed: number, hostCount: number, minimumSteps: number): SimulationCounts => {
  const random = createRandom(seed)
  const between = (low: number, high: number): number => low + random() * (high - low)
  const pick = <Element>(elements: Element[]): Element => elements[pickIndex(random, elements.length)]!
  const counts = { steps: 0, rollouts: 0, refusals: 0, headReads: 0, restarts: 0, freezes: 0, outages: 0, milliseconds: 0 }
  const agenda = new Map<number, Array<() => void>>()
  const names = [...Array.from({ length: hostCount }, (_, index) => `host-${index}`), forger]
  let now = 0
  const after = (delay: number, run: () => void): void => {
    const time = Math.floor(now + Math.max(1, delay))
    agenda.set(time, [...agenda.get(time) ?? [], run])
  }
  const table = { downUntil: 0 }
  const objects = { downUntil: 0 }
  const rollouts: Array<{ document: SignedBundle, at: number }> = []
  const accepted = new Set<string>()
  let forged: SignedBundle[] = []
  const currentHead = (): BundleHead | null => rollouts.length === 0 ? null : headOf(rollouts.at(-1)!.document)
  const start = (name: string, boot: number): SimulatedHost => ({ name, boot, state: createRolloutState({ trustedKeys, now }), upSince: now, frozenUntil: 0, held: [] })
  const hosts = new Map(names.filter(name => name !== forger).map(name => [name, start(name, 0)]))
  const isFrozen = (host: SimulatedHost): boolean => host.frozenUntil > now

  const deliver = (name: string, boot: number, event: RolloutEvent): void => {
    const host = hosts.get(name)
    if (host === undefined || host.boot !== boot) return
    // What arrives at a frozen host waits in its socket buffers.
    if (isFrozen(host)) return after(host.frozenUntil - now, () => deliver(name, boot, event))
    const { state } = host
    counts.steps += 1
    stepRollout({ state, event, now, random }).forEach(command => runCommand(host, command))
    checkHost(host)
  }
  const send = (name: string, event: RolloutEvent, delay = between(1, 15)): void => {
    const boot = hosts.get(name)?.boot ?? 0
    if (random() >= 0.05) after(delay, () => deliver(name, boot, event))
  }
  const versionOf = (peer: string): BundleHead | null => {
    if (peer === forger) return random() < 0.5 || forged.length === 0 ? currentHead() : headOf(pick(forged))
    return readHeadInForce(hosts.get(peer)!.state) ?? null
  }
  const documentOf = (peer: string, version: number): SignedBundle | undefined => {
    if (peer === forger) return pick([...forged, pick(rollouts).document, rollouts[0]!.document])
    return findDocument(hosts.get(peer)!.state, version)
  }
  const answers = (peer: string): boolean => peer === forger || !isFrozen(hosts.get(peer)!)

  const fetchBody = (host: SimulatedHost, requested: BundleHead, origin: BodyOrigin, find: () => SignedBundle | undefined): void => {
    after(between(1, 15), () => {
      const document = find()
      send(host.name, document === undefined ? { kind: RolloutEventKind.BodyFailed, requested, origin } : { kind: RolloutEventKind.BodyReceived, requested, origin, document })
    })
  }
  const run: { [Kind in RolloutCommandKind]: (host: SimulatedHost, command: Extract<RolloutCommand, { kind: Kind }>) => void } = {
    [RolloutCommandKind.ReadHead]: (host, { request }) => {
      counts.headReads += 1
      after(between(1, 15), () => {
        if (table.downUntil <= now) send(host.name, { kind: RolloutEventKind.HeadRead, request, head: currentHead() })
        else if (random() < 0.5) send(host.name, { kind: RolloutEventKind.HeadReadFailed, request })
      })
    },
    [RolloutCommandKind.AskPeers]: (host, { peers, request }) => peers.forEach(peer => after(between(1, 15), () => {
      if (answers(peer)) send(host.name, { kind: RolloutEventKind.PeerVersion, peer, head: versionOf(peer), request })
    })),
    [RolloutCommandKind.FetchBodyFromStore]: (host, { requested }) => fetchBody(host, requested, { source: BodySource.Store }, () =>
      objects.downUntil > now ? undefined : rollouts.find(({ document }) => document.digest === requested.digest)?.document),
    [RolloutCommandKind.FetchBodyFromPeer]: (host, { requested, peer }) => {
      if (answers(peer)) fetchBody(host, requested, { source: BodySource.Peer, peer }, () => documentOf(peer, requested.version))
    },
    [RolloutCommandKind.TellPeers]: (host, { peers, head }) => peers.forEach(peer => send(peer, { kind: RolloutEventKind.PeerVersion, peer: host.name, head })),
    [RolloutCommandKind.PutInForce]: (host, { verified }) => {
      const { version } = verified.bundle
      assert.ok(accepted.has(verified.digest), `${host.name} at ${now} ms: version ${version} in force was never accepted`)
      assert.ok(version > (host.held.at(-1)?.version ?? 0), `${host.name} at ${now} ms: version ${version} in force after ${host.held.at(-1)?.version}`)
      host.held.push({ version, at: now })
    },
    [RolloutCommandKind.ReportRefusal]: () => { counts.refusals += 1 }
  }
  const runCommand = (host: SimulatedHost, command: RolloutCommand): void => (run[command.kind] as (host: SimulatedHost, command: RolloutCommand) => void)(host, command)

  // The version that a reachable host must have: what the head named 5 s ago while the stores answered,
  // and what any host had 5 s ago, if both hosts were up for all of that time.
  const requiredVersion = (since: number): number => {
    const storesUp = Math.max(table.downUntil, objects.downUntil) <= since
    const named = storesUp ? rollouts.filter(({ at }) => at <= since).at(-1)?.document.body.version as number | undefined ?? 0 : 0
    const held = [...hosts.values()].filter(other => !isFrozen(other) && other.upSince <= since)
      .map(other => other.held.filter(({ at }) => at <= since).at(-1)?.version ?? 0)
    return Math.max(named, ...held)
  }
  const checkHost = (host: SimulatedHost): void => {
    const version = host.held.at(-1)?.version ?? 0
    const thawed = host.frozenUntil > 0 && now - host.frozenUntil < 1_000
    const isDue = now - host.upSince > convergeMilliseconds || (thawed && mayServe(host.state, now))
    if (!isDue) return
    const required = requiredVersion((thawed ? host.frozenUntil : now) - convergeMilliseconds)
    assert.ok(version >= required, `${host.name} at ${now} ms: version ${version} in force, but ${required} was out for 5 s`)
  }

  const tick = (name: string): void => {
    const host = hosts.get(name)!
    if (!isFrozen(host)) deliver(name, host.boot, { kind: RolloutEventKind.Tick, peers: names.filter(other => other !== name), listedHosts: names.length })
    after(100, () => tick(name))
  }
  const heartbeat = (name: string): void => {
    const host = hosts.get(name)
    const peers = host === undefined || !isFrozen(host) ? sample(random, names.filter(other => other !== name), 3) : []
    peers.forEach(peer => {
      send(peer, { kind: RolloutEventKind.PeerVersion, peer: name, head: versionOf(name) })
      if (answers(peer)) send(name, { kind: RolloutEventKind.PeerVersion, peer, head: versionOf(peer) })
    })
    after(500, () => heartbeat(name))
  }
  const rollOut = (): void => {
    if (Math.max(table.downUntil, objects.downUntil) <= now) {
      const version = rollouts.length + 1
      const document = makeSigned(version)
      rollouts.push({ document, at: now })
      accepted.add(document.digest)
      forged = [...makeForged(version), ...makeForged(version + 1), ...makeForged(version + 1_000)]
      counts.rollouts += 1
    }
    after(between(500, 7_000), rollOut)
  }
  const faults: Array<() => void> = [
    () => { table.downUntil = now + between(500, 12_000); counts.outages += 1 },
    () => { objects.downUntil = now + between(500, 12_000); counts.outages += 1 },
    () => {
      const host = pick([...hosts.values()].filter(candidate => !isFrozen(candidate)))
      host.frozenUntil = Math.floor(now + between(200, 9_000))
      host.upSince = host.frozenUntil
      counts.freezes += 1
    },
    () => {
      const { name, boot } = pick([...hosts.values()])
      hosts.set(name, start(name, boot + 1))
      counts.restarts += 1
    }
  ]
  const fault = (): void => {
    const unsettled = [...hosts.values()].filter(host => host.upSince > now - convergeMilliseconds).length
    if (unsettled < 3) pick(faults)()
    after(between(500, 4_000), fault)
  }

  rollOut()
  names.forEach(name => after(between(1, 500), () => heartbeat(name)))
  hosts.forEach(({ name }) => after(between(1, 100), () => tick(name)))
  after(10_000, fault)
  while (counts.steps < minimumSteps) {
    now += 1
    const due = agenda.get(now)
    agenda.delete(now)
    due?.forEach(action => action())
  }
  return { ...counts, milliseconds: now }
}
