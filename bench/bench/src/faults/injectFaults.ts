// Injects faults into the processes of a run. Each fault has a start, which gives the function that
// ends it, and stands in a lookup table.
import { crashingPathMark } from '@siskinbeam/stand-in-server/serveServer'
import { pickIndex, sample, type Random } from '@siskinbeam/random/createRandom'
import { callControl } from '../cluster/callControl.js'
import type { Cluster, RunningEntryProcess, RunningServerProcess } from '../cluster/startCluster.js'
import type { GuestRequest } from '../load/invocation.js'
import { makeGuestRequest } from '../load/driveLoad.js'
import { readClock } from '../load/sendAsGuest.js'
import { FaultName } from './faultName.js'

/** What a fault acts on. */
export interface FaultContext {
  cluster: Cluster
  random: Random
  /** Requests that the load driver sends besides its own. */
  submit: (request: GuestRequest) => void
  setLoadFactor: (factor: number) => void
}

type EndFault = () => Promise<void>
type StartFault = (context: FaultContext) => Promise<EndFault>

const stragglerFactor = 10
const stragglerShare = 8
const restartMilliseconds = 1_000
const overloadFactor = 1.5 / 0.7
const drainGraceMilliseconds = 8_000

const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))
// A server that is already stopped and started by one fault is left alone by the next.
const inRestart = new Set<RunningServerProcess>()
async function withServer ({ cluster, random }: FaultContext, act: (server: RunningServerProcess) => Promise<void>): Promise<EndFault> {
  const free = cluster.servers.filter(server => !inRestart.has(server) && server.process.running())
  const server = free[pickIndex(random, free.length)] as RunningServerProcess
  inRestart.add(server)
  await act(server)
  inRestart.delete(server)
  return async () => {}
}

function freeze (cluster: Cluster, entryHosts: RunningEntryProcess[], servers: RunningServerProcess[]): EndFault {
  const processes = [...entryHosts, ...servers].map(({ process }) => process)
  entryHosts.forEach(({ planned }) => cluster.disturbedAddresses.add(planned.guestAddress))
  processes.forEach(({ kill }) => kill('SIGSTOP'))
  return async () => processes.forEach(({ kill }) => kill('SIGCONT'))
}

const starts: Record<Exclude<FaultName, FaultName.All>, StartFault> = {
  [FaultName.None]: async () => async () => {},
  [FaultName.Straggler]: async ({ cluster, random }) => {
    const slowed = cluster.plan.servers
      .filter(({ position }) => position === 0)
      .flatMap(({ service }) => {
        const ofService = cluster.servers.filter(({ planned }) => planned.service.name === service.name)
        return sample(random, ofService, Math.max(1, Math.floor(ofService.length / stragglerShare)))
      })
    await Promise.all(slowed.map(({ planned }) => callControl(planned.controlAddress, 'POST', '/control', { slowFactor: stragglerFactor })))
    return async () => { await Promise.all(slowed.map(({ planned }) => callControl(planned.controlAddress, 'POST', '/control', { slowFactor: 1 }))) }
  },
  [FaultName.Crash]: context => withServer(context, async server => {
    server.process.kill('SIGKILL')
    await server.process.exited
    await wait(restartMilliseconds)
    await context.cluster.restartServer(server)
  }),
  [FaultName.CrashingRequest]: async ({ cluster, submit }) => {
    const kind = cluster.workload.kinds.find(({ idempotent }) => idempotent)
    if (kind !== undefined) submit({ ...makeGuestRequest(kind, readClock()), path: `${kind.path}?${crashingPathMark}` })
    return () => cluster.restartDeadServers()
  },
  [FaultName.Drain]: context => withServer(context, async server => {
    await context.cluster.listServer(server, 'leaving')
    await server.process.stop(drainGraceMilliseconds)
    await context.cluster.restartServer(server)
    await context.cluster.listServer(server, 'live')
  }),
  [FaultName.Silent]: async context => {
    const silenced = sample(context.random, context.cluster.servers, 4)
    await Promise.all(silenced.map(({ planned }) => callControl(planned.controlAddress, 'POST', '/control', { silentConnections: true })))
    return async () => {}
  },
  [FaultName.Freeze]: async ({ cluster, random }) => {
    const entryHost = cluster.entryHosts[pickIndex(random, cluster.entryHosts.length)] as RunningEntryProcess
    const server = cluster.servers[pickIndex(random, cluster.servers.length)] as RunningServerProcess
    return freeze(cluster, [entryHost], [server])
  },
  // Nothing on one machine can cut a network without isolation tools, so the processes of the data
  // centre are stopped: to all others they are silent in the same way.
  [FaultName.Cut]: async ({ cluster, random }) => {
    const { dataCentres } = cluster.workload
    const dataCentre = dataCentres[pickIndex(random, dataCentres.length)]
    const entryHosts = cluster.entryHosts.filter(({ planned }) => planned.dataCentre === dataCentre)
    const servers = cluster.servers.filter(({ planned }) => planned.dataCentre === dataCentre)
    return freeze(cluster, entryHosts, servers)
  },
  [FaultName.StoreOutage]: async ({ cluster: { plan } }) => {
    const set = (outage: boolean): Promise<unknown> => Promise.all([plan.tableControl, plan.objectStoreControl].map(address => callControl(address, 'POST', '/control', { outage })))
    await set(true)
    return async () => { await set(false) }
  },
  [FaultName.LostReply]: async ({ cluster: { plan } }) => {
    const set = (lostReplyShare: number, delayedWriteShare: number): Promise<unknown> => callControl(plan.tableControl, 'POST', '/control', { lostReplyShare, delayedWriteShare })
    await set(0.2, 0.05)
    return async () => { await set(0, 0) }
  },
  [FaultName.Overload]: async ({ setLoadFactor }) => {
    setLoadFactor(overloadFactor)
    return async () => setLoadFactor(1)
  }
}

/** One fault of a schedule. Times are seconds since the start of the load. */
export interface ScheduledFault {
  fault: Exclude<FaultName, FaultName.All>
  atSeconds: number
  forSeconds: number
}

/** Faults with a duration end after a third of the run; those at an instant are repeated. */
const repeatedFaults: FaultName[] = [FaultName.Crash, FaultName.CrashingRequest, FaultName.Drain, FaultName.Silent]
const freezeSeconds = 3

/** Makes the schedule of a run. For `all`, faults start at random and may overlap. */
export function scheduleFaults (fault: FaultName, seconds: number, random: Random): ScheduledFault[] {
  if (fault === FaultName.None) return []
  if (fault === FaultName.All) {
    const choices = (Object.values(FaultName) as FaultName[]).filter((name): name is ScheduledFault['fault'] => name !== FaultName.None && name !== FaultName.All)
    const count = Math.max(2, Math.round(seconds / 4))
    return Array.from({ length: count }, () => ({
      fault: choices[pickIndex(random, choices.length)] as ScheduledFault['fault'],
      atSeconds: seconds * (0.1 + 0.7 * random()),
      forSeconds: 1 + 3 * random()
    })).sort((first, second) => first.atSeconds - second.atSeconds)
  }
  if (repeatedFaults.includes(fault)) return [0.25, 0.5, 0.7].map(share => ({ fault, atSeconds: share * seconds, forSeconds: 2 }))
  return [{ fault, atSeconds: seconds / 3, forSeconds: fault === FaultName.Freeze || fault === FaultName.Cut ? freezeSeconds : seconds / 3 }]
}

/** Carries out a schedule; resolves when the last fault has ended. */
export async function injectFaults (schedule: ScheduledFault[], context: FaultContext): Promise<void> {
  await Promise.all(schedule.map(async ({ fault, atSeconds, forSeconds }) => {
    await wait(atSeconds * 1_000)
    const end = await starts[fault](context)
    await wait(forSeconds * 1_000)
    await end()
  }))
}
