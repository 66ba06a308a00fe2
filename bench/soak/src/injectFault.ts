// Carries out one planned fault from outside the processes, and takes it back when its time is over.
import { setTimeout as pause } from 'node:timers/promises'
import { Path, Table } from '@siskinbeam/platform-adapter/wire'
import { createRandom, sample } from '@siskinbeam/random/createRandom'
import { DisturbanceKind, type Disturbance } from './disturbance.js'
import { exchange } from './driveGuests.js'
import { soundLink } from './faultyProxy.js'
import { FaultKind, type PlannedFault } from './planFaults.js'
import { type Fleet, type SoakHost, type SoakServer } from './startFleet.js'

const restartMilliseconds = 300
const listenPollMilliseconds = 20
/** The platform kills a process that is still there after its grace time. */
const graceMilliseconds = 6_000
const lateWriteMilliseconds = 1_500
const linkDelayMilliseconds = 120
const struckShare = 0.4
/** Pauses and cuts leave this share of the hosts alone at the least. */
const leastServers = 2

type Inject = (fleet: Fleet, fault: PlannedFault) => Promise<void>

async function endAndRestart (host: SoakHost, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
  if (host.restarting) {
    if (signal === 'SIGKILL') host.disturbances.filter(({ to }) => to === Infinity).forEach(open => { open.kind = DisturbanceKind.Killed })
    host.child.signal(signal)
    return
  }
  host.restarting = true
  const disturbance: Disturbance = { from: Date.now(), to: Infinity, kind: signal === 'SIGKILL' ? DisturbanceKind.Killed : DisturbanceKind.Stopped }
  host.disturbances.push(disturbance)
  host.child.signal(signal)
  const kill = setTimeout(() => {
    disturbance.kind = DisturbanceKind.Killed
    host.child.signal('SIGKILL')
  }, graceMilliseconds)
  await host.child.exited
  clearTimeout(kill)
  await pause(restartMilliseconds)
  host.start()
  host.restarting = false
  await waitUntilListening(host)
  disturbance.to = Date.now()
}

async function waitUntilListening (host: SoakHost): Promise<void> {
  const { status } = await exchange({ address: host.readinessAddress, method: 'GET', path: Path.Readiness, headers: {}, patienceMilliseconds: 1_000 })
  if (status !== 0 || host.restarting) return
  await pause(listenPollMilliseconds)
  await waitUntilListening(host)
}

const pickHost = ({ hosts }: Fleet, { target }: PlannedFault): SoakHost => hosts[Math.floor(target * hosts.length)] as SoakHost
const pickServer = ({ servers }: Fleet, { target }: PlannedFault): SoakServer | undefined => servers[Math.floor(target * servers.length)]
const pickLinks = ({ servers }: Fleet, { target }: PlannedFault): SoakServer[] => sample(createRandom(Math.floor(target * 1e6)), servers, Math.ceil(servers.length * struckShare))

const withStoreFault = (change: Partial<Fleet['store']['faults']>, back: Partial<Fleet['store']['faults']>): Inject => async ({ store }, { lastsMilliseconds }) => {
  Object.assign(store.faults, change)
  await pause(lastsMilliseconds)
  Object.assign(store.faults, back)
}

async function replaceServer (fleet: Fleet, server: SoakServer): Promise<void> {
  if (fleet.servers.length <= leastServers) return
  await fleet.startServer()
  await fleet.retireServer(server)
}

const injections: Record<FaultKind, Inject> = {
  [FaultKind.KillHost]: (fleet, fault) => endAndRestart(pickHost(fleet, fault), 'SIGKILL'),
  [FaultKind.StopHost]: (fleet, fault) => endAndRestart(pickHost(fleet, fault), 'SIGTERM'),
  [FaultKind.KillAllHosts]: async ({ hosts }) => { await Promise.all(hosts.map(host => endAndRestart(host, 'SIGKILL'))) },
  [FaultKind.PauseHost]: async (fleet, fault) => {
    const host = pickHost(fleet, fault)
    const disturbance = { from: Date.now(), to: Infinity, kind: DisturbanceKind.Paused }
    host.disturbances.push(disturbance)
    host.child.signal('SIGSTOP')
    await pause(fault.lastsMilliseconds)
    host.child.signal('SIGCONT')
    disturbance.to = Date.now()
  },
  [FaultKind.KillServer]: async (fleet, fault) => {
    const server = pickServer(fleet, fault)
    if (server === undefined || fleet.servers.length <= leastServers) return
    server.child.signal('SIGKILL')
    fleet.servers.splice(fleet.servers.indexOf(server), 1)
    await fleet.startServer()
    await pause(fault.lastsMilliseconds)
    fleet.store.remove(Table.Servers, server.id)
    server.link.close()
  },
  [FaultKind.PauseServer]: async (fleet, fault) => {
    const server = pickServer(fleet, fault)
    server?.child.signal('SIGSTOP')
    await pause(fault.lastsMilliseconds)
    server?.child.signal('SIGCONT')
  },
  [FaultKind.ReplaceServer]: async (fleet, fault) => {
    const server = pickServer(fleet, fault)
    if (server !== undefined) await replaceServer(fleet, server)
  },
  [FaultKind.ResetServerLinks]: async (fleet, fault) => pickLinks(fleet, fault).forEach(({ link }) => link.reset()),
  [FaultKind.DelayServerLinks]: (fleet, fault) => withLinkFault(pickLinks(fleet, fault).map(({ link }) => link), { delayMilliseconds: linkDelayMilliseconds }, fault),
  [FaultKind.CutServerAnswers]: (fleet, fault) => withLinkFault(pickLinks(fleet, fault).map(({ link }) => link), { holdsAnswers: true }, fault),
  [FaultKind.SilenceStoreLink]: (fleet, fault) => withLinkFault([pickHost(fleet, fault).storeLink], { holdsRequests: true, holdsAnswers: true }, fault),
  [FaultKind.ResetStoreLinks]: async ({ hosts }) => hosts.forEach(({ storeLink }) => storeLink.reset()),
  [FaultKind.StoreRefuses]: withStoreFault({ refuseStatus: 503 }, { refuseStatus: undefined }),
  [FaultKind.StoreSilent]: withStoreFault({ silent: true }, { silent: false }),
  [FaultKind.StoreLosesReplies]: withStoreFault({ loseWriteReplies: true }, { loseWriteReplies: false }),
  [FaultKind.StoreWritesLate]: withStoreFault({ lateWriteMilliseconds }, { lateWriteMilliseconds: undefined }),
  [FaultKind.StoreReadsStale]: withStoreFault({ staleFeed: true }, { staleFeed: false }),
  [FaultKind.StoreDropsHistory]: async ({ store }) => store.dropHistory(),
  [FaultKind.ChangeConfiguration]: async fleet => fleet.putConfiguration()
}

async function withLinkFault (links: Array<SoakHost['storeLink']>, change: Partial<typeof soundLink>, { lastsMilliseconds }: PlannedFault): Promise<void> {
  links.forEach(({ faults }) => Object.assign(faults, change))
  await pause(lastsMilliseconds)
  links.forEach(({ faults }) => Object.assign(faults, soundLink))
}

/** Carries out a fault and waits until it is over. */
export function injectFault (fleet: Fleet, fault: PlannedFault): Promise<void> {
  return injections[fault.kind](fleet, fault)
}
