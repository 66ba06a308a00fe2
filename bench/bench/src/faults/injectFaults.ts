// Injects faults into the processes of a run. A lookup table holds the function that starts each fault, which
// resolves to the function that ends it.
import { crashPathMarker } from '@siskinbeam/stand-in-server/startServer'
import { pickIndex, sample, type Random } from '@siskinbeam/random/createRandom'
import { sendJsonRequest } from '../cluster/sendJsonRequest.js'
import type { Cluster, RunningEntryHostProcess, RunningServerProcess } from '../cluster/startCluster.js'
import type { GuestRequest } from '../load/guestRequest.js'
import { makeGuestRequest } from '../load/driveLoad.js'
import { readClock } from '../load/sendAsGuest.js'
import { FaultName } from './faultName.js'

/** The system and the load that a fault acts on. */
export interface FaultContext {
  cluster: Cluster
  random: Random
  /** Sends a request in addition to the generated load. */
  submit: (request: GuestRequest) => void
  /** Multiplies the load of the run. */
  setLoadFactor: (factor: number) => void
}

type EndFault = () => Promise<void>
type StartFault = (context: FaultContext) => Promise<EndFault>

const stragglerSlowFactor = 10
const serversPerStraggler = 8
const restartMilliseconds = 1_000
// Raises the default load of 0.7 to 1.5 times the capacity.
const overloadLoadFactor = 1.5 / 0.7
const drainGraceMilliseconds = 8_000

const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))
// Servers that a fault is restarting; overlapping faults select others.
const serversInRestart = new Set<RunningServerProcess>()
async function withExclusiveServer ({ cluster, random }: FaultContext, act: (server: RunningServerProcess) => Promise<void>): Promise<EndFault> {
  const availableServers = cluster.servers.filter(server => !serversInRestart.has(server) && server.process.isRunning())
  const server = availableServers[pickIndex(random, availableServers.length)] as RunningServerProcess
  serversInRestart.add(server)
  try {
    await act(server)
  } finally {
    serversInRestart.delete(server)
  }
  return async () => {}
}

function suspendProcesses (cluster: Cluster, entryHosts: RunningEntryHostProcess[], servers: RunningServerProcess[]): EndFault {
  const processes = [...entryHosts, ...servers].map(({ process }) => process)
  entryHosts.forEach(({ planned }) => cluster.disturbedAddresses.add(planned.guestAddress))
  processes.forEach(({ kill }) => kill('SIGSTOP'))
  return async () => processes.forEach(({ kill }) => kill('SIGCONT'))
}

const faultStarters: Record<Exclude<FaultName, FaultName.All>, StartFault> = {
  [FaultName.None]: async () => async () => {},
  [FaultName.Straggler]: async ({ cluster, random }) => {
    const stragglers = cluster.plan.servers
      .filter(({ position }) => position === 0)
      .flatMap(({ service }) => {
        const serversOfService = cluster.servers.filter(({ planned }) => planned.service.name === service.name)
        return sample(random, serversOfService, Math.max(1, Math.floor(serversOfService.length / serversPerStraggler)))
      })
    await Promise.all(stragglers.map(({ planned }) => sendJsonRequest(planned.controlAddress, 'POST', '/control', { slowFactor: stragglerSlowFactor })))
    return async () => { await Promise.all(stragglers.map(({ planned }) => sendJsonRequest(planned.controlAddress, 'POST', '/control', { slowFactor: 1 }))) }
  },
  [FaultName.Crash]: context => withExclusiveServer(context, async server => {
    server.process.kill('SIGKILL')
    await server.process.exited
    await wait(restartMilliseconds)
    await context.cluster.restartServer(server)
  }),
  [FaultName.CrashingRequest]: async ({ cluster, submit }) => {
    const kind = cluster.workload.kinds.find(({ idempotent }) => idempotent)
    if (kind !== undefined) submit({ ...makeGuestRequest(kind, readClock()), path: `${kind.path}?${crashPathMarker}` })
    return () => cluster.restartExitedServers()
  },
  [FaultName.Drain]: context => withExclusiveServer(context, async server => {
    await context.cluster.setServerState(server, 'leaving')
    await server.process.stop(drainGraceMilliseconds)
    await context.cluster.restartServer(server)
    await context.cluster.setServerState(server, 'live')
  }),
  [FaultName.Unresponsive]: async context => {
    const unresponsiveServers = sample(context.random, context.cluster.servers, 4)
    await Promise.all(unresponsiveServers.map(({ planned }) => sendJsonRequest(planned.controlAddress, 'POST', '/control', { silentConnections: true })))
    return async () => {}
  },
  [FaultName.Freeze]: async ({ cluster, random }) => {
    const entryHost = cluster.entryHosts[pickIndex(random, cluster.entryHosts.length)] as RunningEntryHostProcess
    const server = cluster.servers[pickIndex(random, cluster.servers.length)] as RunningServerProcess
    return suspendProcesses(cluster, [entryHost], [server])
  },
  // A network partition on a single machine would need isolation tools, so the processes of the data centre are
  // suspended instead. To all other processes they are unresponsive in the same way.
  [FaultName.Partition]: async ({ cluster, random }) => {
    const { dataCentres } = cluster.workload
    const dataCentre = dataCentres[pickIndex(random, dataCentres.length)]
    const entryHosts = cluster.entryHosts.filter(({ planned }) => planned.dataCentre === dataCentre)
    const servers = cluster.servers.filter(({ planned }) => planned.dataCentre === dataCentre)
    return suspendProcesses(cluster, entryHosts, servers)
  },
  [FaultName.StoreOutage]: async ({ cluster: { plan } }) => {
    const set = (outage: boolean): Promise<unknown> => Promise.all([plan.tableControl, plan.objectStoreControl].map(address => sendJsonRequest(address, 'POST', '/control', { outage })))
    await set(true)
    return async () => { await set(false) }
  },
  [FaultName.LostReply]: async ({ cluster: { plan } }) => {
    const set = (lostReplyShare: number, delayedWriteShare: number): Promise<unknown> => sendJsonRequest(plan.tableControl, 'POST', '/control', { lostReplyShare, delayedWriteShare })
    await set(0.2, 0.05)
    return async () => { await set(0, 0) }
  },
  [FaultName.Overload]: async ({ setLoadFactor }) => {
    setLoadFactor(overloadLoadFactor)
    return async () => setLoadFactor(1)
  }
}

/** One fault of a schedule. `startSeconds` counts from the start of the load. */
export interface ScheduledFault {
  fault: Exclude<FaultName, FaultName.All>
  startSeconds: number
  durationSeconds: number
}

/** Instantaneous faults, which are injected several times. The others last a third of the run, suspensions 3 s. */
const repeatedFaults: FaultName[] = [FaultName.Crash, FaultName.CrashingRequest, FaultName.Drain, FaultName.Unresponsive]
const suspensionSeconds = 3

/** Creates the fault schedule of a run. For `all`, faults start at random times and may overlap. */
export function scheduleFaults (fault: FaultName, seconds: number, random: Random): ScheduledFault[] {
  if (fault === FaultName.None) return []
  if (fault === FaultName.All) {
    const choices = (Object.values(FaultName) as FaultName[]).filter((name): name is ScheduledFault['fault'] => name !== FaultName.None && name !== FaultName.All)
    const count = Math.max(2, Math.round(seconds / 4))
    return Array.from({ length: count }, () => ({
      fault: choices[pickIndex(random, choices.length)] as ScheduledFault['fault'],
      startSeconds: seconds * (0.1 + 0.7 * random()),
      durationSeconds: 1 + 3 * random()
    })).sort((first, second) => first.startSeconds - second.startSeconds)
  }
  if (repeatedFaults.includes(fault)) return [0.25, 0.5, 0.7].map(share => ({ fault, startSeconds: share * seconds, durationSeconds: 2 }))
  return [{ fault, startSeconds: seconds / 3, durationSeconds: fault === FaultName.Freeze || fault === FaultName.Partition ? suspensionSeconds : seconds / 3 }]
}

/** Runs a schedule; resolves when the last fault has ended. */
export async function injectFaults (schedule: ScheduledFault[], context: FaultContext): Promise<void> {
  await Promise.all(schedule.map(async ({ fault, startSeconds, durationSeconds }) => {
    await wait(startSeconds * 1_000)
    const endFault = await faultStarters[fault](context)
    await wait(durationSeconds * 1_000)
    await endFault()
  }))
}
