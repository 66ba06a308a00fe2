// Guards against a crashing request that its guest repeats until no server is left, and against ordinary
// requests that are refused because they were in flight when a server was stopped or a rack failed.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createRandom, drawExponential, sample } from '@siskinbeam/random/createRandom'
import { computeFingerprint } from '../src/computeFingerprint.js'
import { CrashCommandKind, CrashEventKind, type CrashCommand, type CrashEvent } from '../src/crashTypes.js'
import { decideSuspectSend, SendDecisionKind } from '../src/decideSuspectSend.js'
import { createCrashSuspectsState, reportCrashSuspects, stepCrashSuspects } from '../src/stepCrashSuspects.js'

const [hostCount, serverCount, deadlineMilliseconds] = [20, 25, 2_000]
const announcementLossRatio = 0.01 // of the announcements
interface Server { name: string, boot: number, alive: boolean, inFlight: Set<Send> }
interface Send { host: Host, fingerprint: string, copiesOnFailure: number, startedAt: number, deadlineAt: number, retried: boolean }
interface Host { state: ReturnType<typeof createCrashSuspectsState>, steps: number }

/** Simulates 20 hosts and 25 servers in virtual time, with crashing requests, servers killed by operators and a rack failure. */
const simulateCrashes = (seed: number, crashingRequests: Array<{ at: number, copies: number }>, endMilliseconds: number) => {
  const random = createRandom(seed)
  const scheduledActions = new Map<number, Array<() => void>>()
  let now = 0
  const scheduleAt = (time: number, action: () => void): void => {
    const key = Math.floor(time * 10 + 1) / 10 // the next tick, later than now even if only a rounding error lies between
    scheduledActions.set(key, scheduledActions.get(key) ?? [])
    scheduledActions.get(key)?.push(action)
  }
  const servers: Server[] = Array.from({ length: serverCount }, (_, index) => ({ name: `s${index}`, boot: 0, alive: true, inFlight: new Set<Send>() }))
  const hosts: Host[] = Array.from({ length: hostCount }, () => ({ state: createCrashSuspectsState(), steps: 0 }))
  const serversCrashed = new Map<string, number>(crashingRequests.map((_, index) => [`killer-${index}`, 0]))
  const counts = { ordinary: 0, ordinaryRefused: 0, crashingRefused: 0, expired: 0, steps: 0 }

  const executeCommand = (host: Host, command: CrashCommand): void => {
    if (command.kind !== CrashCommandKind.Announce) return
    sample(random, hosts.filter(peer => peer !== host), command.peers).forEach(peer => {
      const delay = random() < announcementLossRatio ? Infinity : 1 + random() * 3
      if (delay < Infinity) scheduleAt(now + delay, () => step(peer, { kind: CrashEventKind.PeerReported, report: command.report }))
    })
  }
  const step = (host: Host, event: CrashEvent): void => {
    counts.steps += 1
    stepCrashSuspects({ state: host.state, event, now }).forEach(command => executeCommand(host, command))
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
    const decision = decideSuspectSend({ state: host.state, fingerprint, servers: servers.filter(({ alive }) => alive).map(({ name }) => name), now })
    if (decision.kind === SendDecisionKind.Held) return scheduleAt(decision.until, () => send(request))
    if (decision.kind === SendDecisionKind.Refused) {
      if (!serversCrashed.has(fingerprint)) counts.ordinaryRefused += 1
      else counts.crashingRefused += 1
      return
    }
    const named = decision.kind === SendDecisionKind.Isolated ? servers.find(({ name }) => name === decision.server) : undefined
    receive(named ?? sample(random, servers, 1)[0] as Server, { ...request, startedAt: now })
  }
  const receive = (server: Server, request: Send): void => {
    if (!server.alive) {
      step(request.host, { kind: CrashEventKind.ServerDied, server: server.name, boot: String(server.boot), inFlight: [] })
      return scheduleAt(now + 1, () => send(request))
    }
    server.inFlight.add(request)
    if (serversCrashed.has(request.fingerprint)) scheduleAt(now + 5, () => { if (server.inFlight.has(request)) crashServer(server, request.fingerprint) })
    else {
      scheduleAt(now + drawExponential(random, 20), () => {
        if (server.inFlight.delete(request)) step(request.host, { kind: CrashEventKind.Finished, fingerprint: request.fingerprint })
      })
    }
  }
  const crashServer = (server: Server, crashingFingerprint?: string): void => {
    if (!server.alive) return
    if (crashingFingerprint !== undefined) serversCrashed.set(crashingFingerprint, (serversCrashed.get(crashingFingerprint) as number) + 1)
    const interrupted = [...server.inFlight]
    server.alive = false
    server.inFlight.clear()
    const boot = String(server.boot)
    new Set(interrupted.map(({ host }) => host)).forEach(host => scheduleAt(now + 0.5, () => step(host, {
      kind: CrashEventKind.ServerDied,
      server: server.name,
      boot,
      inFlight: interrupted.filter(request => request.host === host).map(({ fingerprint, startedAt }) => ({ fingerprint, ageMilliseconds: now - startedAt }))
    })))
    interrupted.forEach(request => request.retried
      ? scheduleAt(now + 101, () => Array.from({ length: request.copiesOnFailure }).forEach(() => arrive(request.fingerprint, request.copiesOnFailure)))
      : scheduleAt(now + 1, () => send({ ...request, retried: true })))
    scheduleAt(now + 2_000, () => Object.assign(server, { alive: true, boot: server.boot + 1 }))
  }
  const arriveOrdinary = (): void => {
    counts.ordinary += 1
    arrive(random() < 0.3 ? `hot-${Math.floor(random() * 10)}` : `once-${counts.ordinary}`, 1)
    scheduleAt(now + drawExponential(random, 0.4), arriveOrdinary)
  }
  const killRandomServer = (): void => {
    crashServer(sample(random, servers, 1)[0] as Server)
    scheduleAt(now + 2_900, killRandomServer)
  }
  arriveOrdinary()
  scheduleAt(700, killRandomServer)
  scheduleAt(7_000, () => servers.slice(0, 8).forEach(server => scheduleAt(now + random() * 500, () => crashServer(server))))
  crashingRequests.forEach(({ at: time, copies }, index) => scheduleAt(time, () => {
    Array.from({ length: copies }).forEach(() => arrive(`killer-${index}`, 3))
    ;[100, 300, 500, 1_000, 3_000].forEach(later => scheduleAt(time + later, () => [1, 2, 3].forEach(() => arrive(`killer-${index}`, 3))))
  }))
  for (let tick = 0; tick < endMilliseconds * 10 && counts.steps < 1_000_000; tick += 1) {
    now = tick / 10
    const actions = scheduledActions.get(now)
    for (let index = 0; index < (actions?.length ?? 0); index += 1) actions?.[index]?.()
    scheduledActions.delete(now)
  }
  return { counts, serversCrashed: [...serversCrashed.values()] }
}

;[1, 2, 3, 4].forEach(seed => {
  test(`a crashing request crashes at most 3 servers, and no ordinary request is refused (seed ${seed})`, () => {
    const crashingRequests = Array.from({ length: 12 }, (_, index) => ({ at: 800 + index * 950, copies: 1 + index % 3 }))
    const { counts, serversCrashed } = simulateCrashes(seed, crashingRequests, 13_000)
    console.log(`seed=${seed} serversCrashed=${serversCrashed.join(',')} ${Object.entries(counts).map(([name, value]) => `${name}=${value}`).join(' ')}`)
    assert.ok(Math.max(...serversCrashed) <= 3, `one request crashed ${Math.max(...serversCrashed)} servers`)
    assert.equal(counts.ordinaryRefused, 0)
    assert.ok(counts.crashingRefused > 100)
  })
})

const died = (server: string, ...fingerprints: string[]): CrashEvent =>
  ({ kind: CrashEventKind.ServerDied, server, boot: '1', inFlight: fingerprints.map(fingerprint => ({ fingerprint, ageMilliseconds: 5 })) })
const decide = (state: ReturnType<typeof createCrashSuspectsState>, fingerprint: string, now: number): SendDecisionKind =>
  decideSuspectSend({ state, fingerprint, servers: ['a', 'b', 'c'], now }).kind

test('a blamed request is refused for 10 minutes, and at most 1,000 suspects are retained', () => {
  const state = createCrashSuspectsState()
  const run = (event: CrashEvent, now: number): CrashCommand[] => stepCrashSuspects({ state, event, now })
  run(died('a', 'killer'), 0)
  assert.deepEqual([decide(state, 'killer', 149), decide(state, 'killer', 150), decide(state, 'other', 0)], [SendDecisionKind.Held, SendDecisionKind.Isolated, SendDecisionKind.Free])
  run(died('b', 'killer'), 5_000)
  run(died('c', ...Array.from({ length: 1_500 }, (_, index) => `f${index}`)), 200_000)
  assert.equal(state.suspects.size, 1_000)
  run({ kind: CrashEventKind.Ticked }, 604_999)
  assert.equal(decide(state, 'killer', 604_999), SendDecisionKind.Refused)
  run({ kind: CrashEventKind.Ticked }, 605_000)
  assert.equal(decide(state, 'killer', 605_000), SendDecisionKind.Free)
})

test('hosts that exchange reports in any order converge, and a cleared death stays cleared', () => {
  const seed = 9
  const fingerprint = computeFingerprint({ method: 'GET', path: '/a', bodyDigest: '' })
  const event = fc.oneof(fc.constantFrom<CrashEvent>(died('a', fingerprint), died('b', fingerprint), died('c')), fc.constant<CrashEvent>({ kind: CrashEventKind.Finished, fingerprint }))
  fc.assert(fc.property(fc.array(fc.record({ host: fc.nat(2), event }), { maxLength: 12 }), fc.array(fc.tuple(fc.nat(2), fc.nat(2)), { maxLength: 10 }), (events, exchanges) => {
    const states = Array.from({ length: 3 }, createCrashSuspectsState)
    const sendReport = (from: number, to: number, now: number): void => {
      const report = reportCrashSuspects({ state: states[from] as typeof states[0], now, random: () => 0, maximumSuspects: 10 })
      stepCrashSuspects({ state: states[to] as typeof states[0], event: { kind: CrashEventKind.PeerReported, report }, now: now + 3 })
    }
    events.forEach(({ host, event }, index) => stepCrashSuspects({ state: states[host] as typeof states[0], event, now: 10_000 + index * 100 }))
    exchanges.forEach(([from, to]) => sendReport(from, to, 20_000))
    ;[0, 1].forEach(() => [0, 1, 2].forEach(from => [0, 1, 2].forEach(to => sendReport(from, to, 20_100))))
    const views = states.map(({ suspects }) => JSON.stringify([...suspects.values()].map(({ status, deaths, clearedDeaths }) => [status, [...deaths.keys()].sort(), [...clearedDeaths].sort()])))
    assert.equal(new Set(views).size, 1, views.join(' '))
  }), { seed, numRuns: 300 })
})

test('a request is blamed for a third death, but not for two that a rack failure or another request explains', () => {
  const run = (deaths: Array<[number, CrashEvent]>): SendDecisionKind => {
    const state = createCrashSuspectsState()
    deaths.forEach(([now, event]) => stepCrashSuspects({ state, event, now }))
    return decide(state, 'f', 9_000)
  }
  const rack: Array<[number, CrashEvent]> = [[0, died('x')], [0, died('a', 'f')], [1_000, died('b', 'f')]]
  assert.equal(run(rack), SendDecisionKind.Isolated)
  assert.equal(run([[0, died('a', 'f', 'g')], [5_000, died('b', 'f', 'g')]]), SendDecisionKind.Isolated)
  assert.equal(run([...rack, [5_000, died('c', 'f')]]), SendDecisionKind.Refused)
})

test('a popular request that begins to crash servers is refused after three that crashed one after the other, but not for a rack failure', () => {
  const run = (deaths: Array<[number, string, number]>): SendDecisionKind => {
    const state = createCrashSuspectsState()
    stepCrashSuspects({ state, event: { kind: CrashEventKind.Finished, fingerprint: 'f' }, now: 0 })
    deaths.forEach(([now, server, ageMilliseconds]) => stepCrashSuspects({ state, event: { kind: CrashEventKind.ServerDied, server, boot: '1', inFlight: [{ fingerprint: 'f', ageMilliseconds }] }, now }))
    return decide(state, 'f', 9_000)
  }
  const repeated: Array<[number, string, number]> = [[1_000, 'a', 5], [1_900, 'b', 5], [2_800, 'c', 5], [3_700, 'd', 5]]
  assert.equal(run(repeated.slice(0, 3)), SendDecisionKind.Isolated)
  assert.equal(run(repeated), SendDecisionKind.Refused)
  assert.equal(run([[1_000, 'a', 500], [1_100, 'b', 600], [1_400, 'c', 900]]), SendDecisionKind.Isolated)
})
