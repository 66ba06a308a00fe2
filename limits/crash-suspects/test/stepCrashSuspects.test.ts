// Guards against a request that its caller resends until no server is left, and against ordinary
// requests that are refused because they were in flight when a server was killed or a rack failed.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createRandom, drawExponential, sample } from '@siskinbeam/random/createRandom'
import { computeFingerprint } from '../src/computeFingerprint.js'
import { CrashCommandKind, CrashEventKind, type CrashCommand, type CrashEvent } from '../src/crashTypes.js'
import { decideSuspectSend, SendVerdictKind } from '../src/decideSuspectSend.js'
import { createCrashSuspectsState, reportCrashSuspects, stepCrashSuspects } from '../src/stepCrashSuspects.js'

const [hostCount, serverCount, deadlineMilliseconds] = [20, 25, 2_000]
const lostShare = 0.01 // of the announcements
interface Server { name: string, boot: number, alive: boolean, inFlight: Set<Send> }
interface Send { host: Host, fingerprint: string, copiesOnFailure: number, startedAt: number, deadlineAt: number, retried: boolean }
interface Host { state: ReturnType<typeof createCrashSuspectsState>, steps: number }

/** Runs 20 hosts and 25 servers in virtual time, with killers, operators' kills and a failing rack. */
const runCrashes = (seed: number, killers: Array<{ at: number, copies: number }>, endMilliseconds: number) => {
  const random = createRandom(seed)
  const agenda = new Map<number, Array<() => void>>()
  let now = 0
  const at = (time: number, action: () => void): void => {
    const key = Math.floor(time * 10 + 1) / 10 // later than now, even if only a rounding error lies between
    agenda.set(key, agenda.get(key) ?? [])
    agenda.get(key)?.push(action)
  }
  const servers: Server[] = Array.from({ length: serverCount }, (_, index) => ({ name: `s${index}`, boot: 0, alive: true, inFlight: new Set<Send>() }))
  const hosts: Host[] = Array.from({ length: hostCount }, () => ({ state: createCrashSuspectsState(), steps: 0 }))
  const falls = new Map<string, number>(killers.map((_, index) => [`killer-${index}`, 0]))
  const counts = { innocents: 0, innocentsRefused: 0, killersRefused: 0, expired: 0, steps: 0 }

  const follow = (host: Host, command: CrashCommand): void => {
    if (command.kind !== CrashCommandKind.Announce) return
    sample(random, hosts.filter(peer => peer !== host), command.peers).forEach(peer => {
      const delay = random() < lostShare ? Infinity : 1 + random() * 3
      if (delay < Infinity) at(now + delay, () => step(peer, { kind: CrashEventKind.PeerReported, report: command.report }))
    })
  }
  const step = (host: Host, event: CrashEvent): void => {
    counts.steps += 1
    stepCrashSuspects({ state: host.state, event, now }).forEach(command => follow(host, command))
  }
  const arrive = (fingerprint: string, copiesOnFailure: number): void =>
    send({ host: sample(random, hosts, 1)[0] as Host, fingerprint, copiesOnFailure, startedAt: now, deadlineAt: now + deadlineMilliseconds, retried: false })
  const send = (request: Send): void => {
    const { host, fingerprint } = request
    counts.steps += 1
    if (now >= request.deadlineAt) {
      counts.expired += 1
      return
    }
    const verdict = decideSuspectSend({ state: host.state, fingerprint, servers: servers.filter(({ alive }) => alive).map(({ name }) => name), now })
    if (verdict.kind === SendVerdictKind.Held) return at(verdict.until, () => send(request))
    if (verdict.kind === SendVerdictKind.Refused) {
      if (!falls.has(fingerprint)) counts.innocentsRefused += 1
      else counts.killersRefused += 1
      return
    }
    const named = verdict.kind === SendVerdictKind.Isolated ? servers.find(({ name }) => name === verdict.server) : undefined
    receive(named ?? sample(random, servers, 1)[0] as Server, { ...request, startedAt: now })
  }
  const receive = (server: Server, request: Send): void => {
    if (!server.alive) {
      step(request.host, { kind: CrashEventKind.ServerDied, server: server.name, boot: String(server.boot), inFlight: [] })
      return at(now + 1, () => send(request))
    }
    server.inFlight.add(request)
    if (falls.has(request.fingerprint)) at(now + 5, () => { if (server.inFlight.has(request)) kill(server, request.fingerprint) })
    else {
      at(now + drawExponential(random, 20), () => {
        if (server.inFlight.delete(request)) step(request.host, { kind: CrashEventKind.Finished, fingerprint: request.fingerprint })
      })
    }
  }
  const kill = (server: Server, killer?: string): void => {
    if (!server.alive) return
    if (killer !== undefined) falls.set(killer, (falls.get(killer) as number) + 1)
    const broken = [...server.inFlight]
    server.alive = false
    server.inFlight.clear()
    const boot = String(server.boot)
    new Set(broken.map(({ host }) => host)).forEach(host => at(now + 0.5, () => step(host, {
      kind: CrashEventKind.ServerDied,
      server: server.name,
      boot,
      inFlight: broken.filter(request => request.host === host).map(({ fingerprint, startedAt }) => ({ fingerprint, ageMilliseconds: now - startedAt }))
    })))
    broken.forEach(request => request.retried
      ? at(now + 101, () => Array.from({ length: request.copiesOnFailure }).forEach(() => arrive(request.fingerprint, request.copiesOnFailure)))
      : at(now + 1, () => send({ ...request, retried: true })))
    at(now + 2_000, () => Object.assign(server, { alive: true, boot: server.boot + 1 }))
  }
  const arriveInnocent = (): void => {
    counts.innocents += 1
    arrive(random() < 0.3 ? `hot-${Math.floor(random() * 10)}` : `once-${counts.innocents}`, 1)
    at(now + drawExponential(random, 0.4), arriveInnocent)
  }
  const killOne = (): void => {
    kill(sample(random, servers, 1)[0] as Server)
    at(now + 2_900, killOne)
  }
  arriveInnocent()
  at(700, killOne)
  at(7_000, () => servers.slice(0, 8).forEach(server => at(now + random() * 500, () => kill(server))))
  killers.forEach(({ at: time, copies }, index) => at(time, () => {
    Array.from({ length: copies }).forEach(() => arrive(`killer-${index}`, 3))
    ;[100, 300, 500, 1_000, 3_000].forEach(later => at(time + later, () => [1, 2, 3].forEach(() => arrive(`killer-${index}`, 3))))
  }))
  for (let tick = 0; tick < endMilliseconds * 10 && counts.steps < 1_000_000; tick += 1) {
    now = tick / 10
    const actions = agenda.get(now)
    for (let index = 0; index < (actions?.length ?? 0); index += 1) actions?.[index]?.()
    agenda.delete(now)
  }
  return { counts, falls: [...falls.values()] }
}

;[1, 2, 3, 4].forEach(seed => {
  test(`a crashing request fells at most 3 servers and no ordinary request is refused (seed ${seed})`, () => {
    const killers = Array.from({ length: 12 }, (_, index) => ({ at: 800 + index * 950, copies: 1 + index % 3 }))
    const { counts, falls } = runCrashes(seed, killers, 13_000)
    console.log(`seed=${seed} falls=${falls.join(',')} ${Object.entries(counts).map(([name, value]) => `${name}=${value}`).join(' ')}`)
    assert.ok(Math.max(...falls) <= 3, `one request felled ${Math.max(...falls)} servers`)
    assert.equal(counts.innocentsRefused, 0)
    assert.ok(counts.killersRefused > 100)
  })
})

const died = (server: string, ...fingerprints: string[]): CrashEvent =>
  ({ kind: CrashEventKind.ServerDied, server, boot: '1', inFlight: fingerprints.map(fingerprint => ({ fingerprint, ageMilliseconds: 5 })) })
const ask = (state: ReturnType<typeof createCrashSuspectsState>, fingerprint: string, now: number): SendVerdictKind =>
  decideSuspectSend({ state, fingerprint, servers: ['a', 'b', 'c'], now }).kind

test('a blame lasts for 10 minutes, and at most 1,000 suspects are kept', () => {
  const state = createCrashSuspectsState()
  const run = (event: CrashEvent, now: number): CrashCommand[] => stepCrashSuspects({ state, event, now })
  run(died('a', 'killer'), 0)
  assert.deepEqual([ask(state, 'killer', 149), ask(state, 'killer', 150), ask(state, 'other', 0)], [SendVerdictKind.Held, SendVerdictKind.Isolated, SendVerdictKind.Free])
  run(died('b', 'killer'), 5_000)
  run(died('c', ...Array.from({ length: 1_500 }, (_, index) => `f${index}`)), 200_000)
  assert.equal(state.suspects.size, 1_000)
  run({ kind: CrashEventKind.Ticked }, 604_999)
  assert.equal(ask(state, 'killer', 604_999), SendVerdictKind.Refused)
  run({ kind: CrashEventKind.Ticked }, 605_000)
  assert.equal(ask(state, 'killer', 605_000), SendVerdictKind.Free)
})

test('hosts that exchange reports in any order agree, and a cleared death does not come back', () => {
  const seed = 9
  const fingerprint = computeFingerprint({ method: 'GET', path: '/a', bodyDigest: '' })
  const event = fc.oneof(fc.constantFrom<CrashEvent>(died('a', fingerprint), died('b', fingerprint), died('c')), fc.constant<CrashEvent>({ kind: CrashEventKind.Finished, fingerprint }))
  fc.assert(fc.property(fc.array(fc.record({ host: fc.nat(2), event }), { maxLength: 12 }), fc.array(fc.tuple(fc.nat(2), fc.nat(2)), { maxLength: 10 }), (events, exchanges) => {
    const states = Array.from({ length: 3 }, createCrashSuspectsState)
    const tell = (from: number, to: number, now: number): void => {
      const report = reportCrashSuspects({ state: states[from] as typeof states[0], now, random: () => 0, maximumSuspects: 10 })
      stepCrashSuspects({ state: states[to] as typeof states[0], event: { kind: CrashEventKind.PeerReported, report }, now: now + 3 })
    }
    events.forEach(({ host, event }, index) => stepCrashSuspects({ state: states[host] as typeof states[0], event, now: 10_000 + index * 100 }))
    exchanges.forEach(([from, to]) => tell(from, to, 20_000))
    ;[0, 1].forEach(() => [0, 1, 2].forEach(from => [0, 1, 2].forEach(to => tell(from, to, 20_100))))
    const views = states.map(({ suspects }) => JSON.stringify([...suspects.values()].map(({ status, deaths, clearedDeaths }) => [status, [...deaths.keys()].sort(), [...clearedDeaths].sort()])))
    assert.equal(new Set(views).size, 1, views.join(' '))
  }), { seed, numRuns: 300 })
})

test('two deaths that a failing rack or another request explains do not blame a request, a third does', () => {
  const run = (deaths: Array<[number, CrashEvent]>): SendVerdictKind => {
    const state = createCrashSuspectsState()
    deaths.forEach(([now, event]) => stepCrashSuspects({ state, event, now }))
    return ask(state, 'f', 9_000)
  }
  const rack: Array<[number, CrashEvent]> = [[0, died('x')], [0, died('a', 'f')], [1_000, died('b', 'f')]]
  assert.equal(run(rack), SendVerdictKind.Isolated)
  assert.equal(run([[0, died('a', 'f', 'g')], [5_000, died('b', 'f', 'g')]]), SendVerdictKind.Isolated)
  assert.equal(run([...rack, [5_000, died('c', 'f')]]), SendVerdictKind.Refused)
})
