// Guards against a wrong view of the entry hosts when hosts fail, leave, pause, are replaced or become
// unreachable, in seeded simulations of many hosts in virtual time. The seeds and step counts are printed.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '@siskinbeam/random/createRandom'
import { countLiveEntryHosts, listDataCentrePeers, listLiveEntryHosts } from '../src/listEntryHosts.js'
import { createBootId, type MemberEntry } from '../src/memberEntry.js'
import { tokensPerMillisecond, createMembershipState, heartbeatIntervalMilliseconds, maximumMembers } from '../src/membershipState.js'
import { MembershipCommandKind, MembershipEventKind, stepMembership } from '../src/stepMembership.js'
import { MembershipSimulation } from './membershipSimulation.js'

const seed = 20_261_204
const settleMilliseconds = 60_000
const maximumExclusionMilliseconds = 3_000
const regularPerSecond = 1_000 / heartbeatIntervalMilliseconds
// Token buckets for changes, bundles and retries.
const bucketCount = 3
let totalSteps = 0

function startConverged (count: number): MembershipSimulation {
  const simulation = new MembershipSimulation(count, seed + count)
  simulation.run(settleMilliseconds)
  assert.ok(simulation.hasConverged(), 'all hosts know each other')
  return simulation
}

function reportRun (simulation: MembershipSimulation, what: string): void {
  totalSteps += simulation.steps
  console.log(`${what} hosts=${simulation.hosts.length} seed=${seed + simulation.hosts.length} steps=${simulation.steps}`)
}

;[20, 100].forEach(count => {
  test(`a failed or leaving host is excluded from every view within 3 s (${count} hosts)`, () => {
    const simulation = startConverged(count)
    const slowest = simulation.hosts.slice(1, 13).reduce((most, host) => {
      host.running = false
      const taken = simulation.runUntil(() => simulation.hostsListing(host.name).length === 0, 10_000)
      simulation.restart(host)
      assert.ok(simulation.runUntil(() => simulation.hasConverged(), 20_000) < 20_000, 'a restarted host is in all views again')
      return Math.max(most, taken)
    }, 0)
    assert.ok(slowest <= maximumExclusionMilliseconds, `a failed host was listed for ${slowest} ms`)
    const leaving = simulation.hosts[13] as typeof simulation.hosts[number]
    simulation.step(leaving, { kind: MembershipEventKind.Leaving })
    const taken = simulation.runUntil(() => simulation.hostsListing(leaving.name).length === 0, 10_000)
    assert.ok(taken <= maximumExclusionMilliseconds, `a leaving host was listed for ${taken} ms`)
    reportRun(simulation, `failed=${slowest}ms leaving=${taken}ms`)
  })

  test(`views converge after partitions, loss, pauses and restarts, and no entry of an earlier boot returns (${count} hosts)`, () => {
    const simulation = startConverged(count)
    const latestBoots = new Map<string, string>()
    simulation.observe = ({ name, state }) => {
      state.records.forEach(({ entry }, host) => {
        const key = `${name} ${state.own.bootId} ${host}`
        assert.ok(entry.bootId >= (latestBoots.get(key) ?? ''), `${name} replaced the boot of ${host} by an earlier one`)
        latestBoots.set(key, entry.bootId)
      })
    }
    const { hosts, random, sent: sentBefore, now: start } = simulation
    const pick = (): typeof hosts[number] => hosts[Math.floor(random() * count)] as typeof hosts[number]
    ;[10_000, 40_000].forEach(length => {
      simulation.lossRatio = 0.01
      hosts.forEach((host, index) => { host.partition = index % 2 })
      const paused = pick()
      paused.pausedUntil = simulation.now + 5_000
      simulation.run(length)
      ;[pick(), pick()].forEach(host => { simulation.restart(host) })
      hosts.forEach(host => { host.partition = 0 })
      simulation.run(5_000)
    })
    const perSecond = (simulation.sent - sentBefore) / count / ((simulation.now - start) / 1_000)
    assert.ok(perSecond < regularPerSecond + bucketCount * tokensPerMillisecond * 1_000, `${perSecond} heartbeats a second`)
    simulation.lossRatio = 0
    assert.ok(simulation.runUntil(() => simulation.hasConverged(), 60_000) < 60_000, 'all hosts know each other again')
    reportRun(simulation, `heartbeatsPerSecond=${perSecond.toFixed(2)}`)
  })

  test(`the rate and size of a host's heartbeats do not grow with the number of hosts (${count} hosts)`, () => {
    const simulation = startConverged(count)
    const [sent, entries] = [simulation.sent, simulation.entriesSent]
    simulation.run(20_000)
    const perSecond = (simulation.sent - sent) / count / 20
    assert.ok(perSecond <= regularPerSecond * 1.02, `${perSecond} heartbeats a second`)
    assert.ok((simulation.entriesSent - entries) / (simulation.sent - sent) <= 2, 'members in each heartbeat')
    reportRun(simulation, `quiet heartbeatsPerSecond=${perSecond.toFixed(2)}`)
  })

  test(`a new bundle version reaches every host within 5 s with 1 % of the messages lost (${count} hosts)`, () => {
    const simulation = startConverged(count)
    simulation.lossRatio = 0.01
    // A host that learns of a later version activates it in an additional step.
    simulation.observe = host => {
      const greatest = Math.max(...listLiveEntryHosts(host.state, simulation.now).map(({ bundleVersion }) => bundleVersion))
      if (greatest > host.state.own.bundleVersion) simulation.step(host, { kind: MembershipEventKind.BundleActivated, bundleVersion: greatest })
    }
    simulation.step(simulation.hosts[0] as typeof simulation.hosts[number], { kind: MembershipEventKind.BundleActivated, bundleVersion: 9 })
    const taken = simulation.runUntil(() => simulation.hosts.every(({ state }) => state.own.bundleVersion === 9), 10_000)
    assert.ok(taken <= 5_000, `the version took ${taken} ms`)
    reportRun(simulation, `bundle=${taken}ms`)
  })
})

test('the seeded simulations have at least 200,000 steps in total', () => { assert.ok(totalSteps >= 200_000, `only ${totalSteps} steps`) })

const random = createRandom(seed)
const location = { dataCentre: 'dc-1', guestAddress: '10.0.0.1:80', peerAddress: '10.0.0.1:81' }
const bootAt = (epochMilliseconds: number): string => createBootId({ epochMilliseconds, random })
const entryOf = (host: string, changes: Partial<MemberEntry> = {}): MemberEntry => ({ ...location, host, bootId: bootAt(1_000), counter: 1, leaving: false, suspected: false, suspectedMilliseconds: 0, bundleVersion: 0, ...changes })
const start = () => createMembershipState({ ...location, host: 'own', bootId: bootAt(5_000), now: 0 })
const receiveHeartbeat = (state: ReturnType<typeof start>, sender: MemberEntry, members: MemberEntry[] = []) =>
  stepMembership({ state, event: { kind: MembershipEventKind.HeartbeatReceived, heartbeat: { sender, members }, answerRequired: true }, now: 1, random })

test('an entry of an earlier boot never replaces that of a later boot, whatever its counter', () => {
  const state = start()
  const later = entryOf('peer', { bootId: bootAt(3_000) })
  receiveHeartbeat(state, later)
  receiveHeartbeat(state, entryOf('other'), [entryOf('peer', { bootId: bootAt(2_000), counter: 500, leaving: true })])
  assert.deepEqual(state.records.get('peer')?.entry, later)
  const [answer] = receiveHeartbeat(state, entryOf('peer', { bootId: bootAt(2_000) }))
  assert.ok(answer?.kind === MembershipCommandKind.AnswerHeartbeat && answer.heartbeat.members.some(({ bootId }) => bootId === later.bootId), 'the answer tells the earlier boot of the later one')
})

test('a host increments its counter when it is reported as suspected or with another boot ID, and reports a later boot', () => {
  const state = start()
  receiveHeartbeat(state, entryOf('peer'), [{ ...state.own, suspected: true }])
  assert.equal(state.own.counter, 2)
  receiveHeartbeat(state, entryOf('peer'), [entryOf('own', { bootId: bootAt(4_000), counter: 70 })])
  assert.equal(state.own.counter, 3)
  const laterBoot = bootAt(9_000)
  const commands = receiveHeartbeat(state, entryOf('peer'), [entryOf('own', { bootId: laterBoot })])
  assert.ok(commands.some(command => command.kind === MembershipCommandKind.ReportLaterBoot && command.bootId === laterBoot))
  assert.ok(createBootId({ epochMilliseconds: 0, random, after: laterBoot }) > laterBoot, 'the new boot ID is later even if the clock is behind')
})

test('the number of members is bounded, and only live members of the same data centre are listed as peers', () => {
  const state = start()
  Array.from({ length: 2_000 }, (_, index) => receiveHeartbeat(state, entryOf(`peer-${index}`, { dataCentre: `dc-${index % 2}`, leaving: index === 1 })))
  assert.equal(countLiveEntryHosts(state, 1), maximumMembers + 1)
  assert.equal(listDataCentrePeers(state).length, maximumMembers / 2 - 1)
})
