// Simulates many membership state machines in virtual time. The network loses exchanges and is split into
// partitions; hosts stop, restart and pause.
import { createRandom, type Random } from '@siskinbeam/random/createRandom'
import { listLiveEntryHosts } from '../src/listEntryHosts.js'
import { createBootId, type Heartbeat } from '../src/memberEntry.js'
import { createMembershipState, exchangeTimeoutMilliseconds, heartbeatIntervalMilliseconds, type MembershipState } from '../src/membershipState.js'
import { MembershipCommandKind, MembershipEventKind, stepMembership, type HeartbeatPeer, type MembershipEvent } from '../src/stepMembership.js'

interface SimulatedHost {
  name: string
  state: MembershipState
  running: boolean
  pausedUntil: number
  partition: number
  boots: number
}

const latencyMilliseconds = 1
const hostListDelayMilliseconds = 5_000

export class MembershipSimulation {
  readonly random: Random
  readonly hosts: SimulatedHost[]
  now = 1_000
  steps = 0
  sent = 0
  entriesSent = 0
  lossRatio = 0
  /** Called after each step, so that a test can check every state of a host. */
  observe: (host: SimulatedHost) => void = () => undefined
  private readonly queue = new Map<number, Array<() => void>>()

  constructor (count: number, seed: number) {
    this.random = createRandom(seed)
    this.hosts = Array.from({ length: count }, (_, index) => ({ name: `entry-${index}`, state: this.createState(`entry-${index}`, index), running: true, pausedUntil: 0, partition: 0, boots: 1 }))
    this.hosts.forEach(host => { this.startHost(host) })
    this.readHostList()
  }

  run (milliseconds: number): void {
    const end = this.now + milliseconds
    for (; this.now < end; this.now += 1) {
      this.queue.get(this.now)?.forEach(action => { action() })
      this.queue.delete(this.now)
    }
  }

  /** Runs until the condition holds, checked every 50 ms, and returns the elapsed milliseconds. */
  runUntil (condition: () => boolean, limit: number): number {
    const start = this.now
    while (!condition() && this.now - start < limit) this.run(50)
    return this.now - start
  }

  restart (host: SimulatedHost): void {
    host.boots += 1
    host.running = true
    host.state = this.createState(host.name, this.hosts.indexOf(host))
    this.startHost(host)
  }

  step (host: SimulatedHost, event: MembershipEvent, answer: (heartbeat: Heartbeat) => void = () => undefined): void {
    this.steps += 1
    stepMembership({ state: host.state, event, now: this.now, random: this.random }).forEach(command => {
      if (command.kind === MembershipCommandKind.SendHeartbeat) this.exchange(host, command.peer, command.heartbeat)
      if (command.kind === MembershipCommandKind.AnswerHeartbeat) answer(command.heartbeat)
    })
    this.observe(host)
  }

  /** Lists the running hosts in the given network partition that list the host as up. */
  hostsListing (name: string, partition = 0): string[] {
    return this.hosts.filter(host => host.running && host.partition === partition && host.name !== name)
      .filter(({ state }) => listLiveEntryHosts(state, this.now).some(({ host, leaving }) => host === name && !leaving))
      .map(({ name }) => name)
  }

  /** Whether every running host lists exactly the running hosts of its partition. */
  hasConverged (): boolean {
    return this.hosts.filter(({ running }) => running).every(({ state, partition }) => {
      const expected = this.hosts.filter(other => other.running && other.partition === partition).map(({ name }) => name).sort()
      return listLiveEntryHosts(state, this.now).map(({ host }) => host).sort().join() === expected.join()
    })
  }

  private createState (host: string, index: number): MembershipState {
    const address = `10.0.${index >> 8}.${index & 255}`
    const bootId = createBootId({ epochMilliseconds: 1_790_000_000_000 + this.now, random: this.random })
    return createMembershipState({ host, bootId, dataCentre: `dc-${index % 3}`, guestAddress: `${address}:80`, peerAddress: `${address}:81`, now: this.now })
  }

  private startHost (host: SimulatedHost): void {
    const { state } = host
    const tick = (): void => {
      if (host.state !== state || !host.running) return
      if (host.pausedUntil <= this.now) this.step(host, { kind: MembershipEventKind.Tick })
      this.schedule(heartbeatIntervalMilliseconds * (0.95 + 0.1 * this.random()), tick)
    }
    this.schedule(heartbeatIntervalMilliseconds * this.random(), tick)
  }

  /** The host list names the hosts that were running `hostListDelayMilliseconds` before. */
  private readHostList (): void {
    const hosts = this.hosts.filter(({ running }) => running).map(({ name, state }) => ({ host: name, peerAddress: state.own.peerAddress, leaving: false }))
    this.schedule(hostListDelayMilliseconds, () => {
      this.hosts.filter(({ running }) => running).forEach(host => { this.step(host, { kind: MembershipEventKind.HostListRead, hosts }) })
    })
    this.schedule(hostListDelayMilliseconds, () => { this.readHostList() })
  }

  private exchange (sender: SimulatedHost, peer: HeartbeatPeer, heartbeat: Heartbeat): void {
    this.sent += 1
    this.entriesSent += heartbeat.members.length
    const { state } = sender
    const receiver = this.hosts.find(({ name }) => name === peer.host) as SimulatedHost
    const deliver = (host: SimulatedHost, action: () => void): void => {
      const arrives = host.running && host.pausedUntil <= this.now && host.partition === sender.partition && this.random() >= this.lossRatio
      if (arrives) this.schedule(latencyMilliseconds, action)
      else this.schedule(exchangeTimeoutMilliseconds, () => { if (sender.state === state && sender.running) this.step(sender, { kind: MembershipEventKind.ExchangeFailed, peer }) })
    }
    deliver(receiver, () => {
      this.step(receiver, { kind: MembershipEventKind.HeartbeatReceived, heartbeat, answerRequired: true }, answer => {
        deliver(sender, () => {
          if (sender.state === state) this.step(sender, { kind: MembershipEventKind.HeartbeatReceived, heartbeat: answer, answerRequired: false })
        })
      })
    })
  }

  private schedule (milliseconds: number, action: () => void): void {
    const at = this.now + Math.max(Math.round(milliseconds), 1)
    this.queue.set(at, [...this.queue.get(at) ?? [], action])
  }
}
