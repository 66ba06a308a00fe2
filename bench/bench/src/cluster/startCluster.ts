// Starts all processes of a run: the stand-ins of the platform, the servers and the entry hosts. Also rolls out
// a signed bundle. Every process is killed by its process ID.
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { randomBytes } from 'node:crypto'
import type { BundleInput, LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import { makeWorkloadBundle, type Workload } from '../workload.js'
import { sendJsonRequest } from './sendJsonRequest.js'
import { selectLoopbackNetwork, planCluster, planEntryHost, type ClusterPlan, type PlannedEntryHost, type PlannedServer } from './planCluster.js'
import { createOperators, type Operators } from './createOperators.js'
import { coalesceCalls } from './coalesceCalls.js'
import { spawnProcess, type SpawnedProcess } from './spawnProcess.js'

/** A server process of a run. A restart replaces `process`. */
export interface RunningServerProcess {
  planned: PlannedServer
  process: SpawnedProcess
}

/** An entry host process of a run. */
export interface RunningEntryHostProcess {
  planned: PlannedEntryHost
  process: SpawnedProcess
}

export interface StartClusterOptions {
  workload: Workload
  policy: LoadBalancingPolicy
  entryHosts: number
  seed: number
  probesPerRequest?: number
  /** Seconds for which a leaving entry host keeps serving requests. */
  leavingSeconds?: number
  /** Modifies the bundle before it is signed. */
  modifyBundle?: (bundle: BundleInput) => void
}

/** The running system of a run. */
export interface Cluster {
  workload: Workload
  plan: ClusterPlan
  servers: RunningServerProcess[]
  entryHosts: RunningEntryHostProcess[]
  operators: Operators
  operatorKey: string
  directory: string
  runLog: string
  policy: LoadBalancingPolicy
  /** Restarts a server unless it is running; concurrent calls for a server share one restart. */
  restartServer: (server: RunningServerProcess) => Promise<void>
  restartExitedServers: () => Promise<void>
  /** Sets the state of a server in the host list. */
  setServerState: (server: RunningServerProcess, state: 'live' | 'leaving') => Promise<void>
  /** Guest addresses of the entry hosts that the run stopped or suspended. */
  disturbedAddresses: Set<string>
  /** Starts a further entry host at the given position; resolves when it is ready. */
  startEntryHost: (position: number) => Promise<RunningEntryHostProcess>
  /** Kills all processes and deletes the directory, unless SISKINBEAM_KEEP_LOGS is set. */
  stop: () => Promise<void>
}

const readyPollMilliseconds = 50
const readyTimeoutMilliseconds = 20_000
const batchSize = 12

/** Starts the processes and waits until the bundle is in force on every entry host. Rejects if one is not ready in time. */
export async function startCluster (options: StartClusterOptions): Promise<Cluster> {
  const { workload, policy } = options
  const directory = mkdtempSync(join(tmpdir(), 'siskinbeam-'))
  const runLog = join(directory, 'runs.jsonl')
  const plan = planCluster(workload, selectLoopbackNetwork(process.pid), options.entryHosts)
  const operatorKey = randomBytes(16).toString('hex')
  const peerKey = randomBytes(16).toString('hex')
  const getLogFile = (name: string): string => join(directory, `${name}.log`)
  const operators = createOperators({ tableAddress: plan.tableAddress, objectStoreAddress: plan.objectStoreAddress })
  const processes: SpawnedProcess[] = []
  const startProcess = async (name: string, script: string, flags: Record<string, string | number>, environment: Record<string, string> = {}): Promise<SpawnedProcess> => {
    const started = await spawnProcess({
      name,
      script,
      arguments: Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]),
      environment,
      logFile: getLogFile(name)
    })
    processes.push(started)
    return started
  }

  const startServerProcess = (planned: PlannedServer): Promise<SpawnedProcess> => startProcess(planned.name, '@siskinbeam/stand-in-server/runServer', {
    name: planned.name,
    service: planned.service.name,
    address: planned.address,
    'control-address': planned.controlAddress,
    slots: planned.service.slots,
    'queue-length': planned.service.queueLength,
    'service-milliseconds': planned.service.serviceMilliseconds,
    'service-sigma': planned.service.serviceSigma,
    'noise-factor': workload.noiseFactor,
    seed: options.seed * 1_000 + planned.position,
    'run-log': runLog,
    'network-delays': planned.networkDelays
  })
  const startEntryHostProcess = async (planned: PlannedEntryHost): Promise<RunningEntryHostProcess> => ({
    planned,
    process: await startProcess(planned.name, '@siskinbeam/entry-host/runEntryHost', {
      host: planned.name,
      'data-centre': planned.dataCentre,
      'guest-address': planned.guestAddress,
      'peer-address': planned.peerAddress,
      'metrics-address': planned.metricsAddress,
      'outgoing-address': planned.ip,
      'table-address': plan.tableAddress,
      'object-store-address': plan.objectStoreAddress,
      'host-list-address': plan.hostListAddress,
      'leaving-seconds': options.leavingSeconds ?? 6,
      'drain-seconds': 5,
      seed: options.seed + planned.ip.length
    }, {
      SISKINBEAM_PEER_KEY: peerKey,
      SISKINBEAM_OPERATOR_KEY: operatorKey,
      SISKINBEAM_TRUSTED_KEYS: operators.trustedKeys.join(',')
    })
  })

  await Promise.all([
    startProcess('table', '@siskinbeam/stand-in-platform/runTableService', { address: plan.tableAddress, 'control-address': plan.tableControl, 'writes-per-second': 400, 'reads-per-second': 2_000 }),
    startProcess('objects', '@siskinbeam/stand-in-platform/runObjectStore', { address: plan.objectStoreAddress, 'control-address': plan.objectStoreControl }),
    startProcess('hosts', '@siskinbeam/stand-in-platform/runHostList', { address: plan.hostListAddress, 'control-address': plan.hostListControl, 'lag-milliseconds': 1_000 })
  ])
  const bundle = makeWorkloadBundle({
    workload,
    policy,
    version: 1,
    previousDigest: null,
    addressOf: (service, position) => plan.servers.find(server => server.service.name === service && server.position === position)?.address ?? '',
    ...(options.probesPerRequest === undefined ? {} : { probesPerRequest: options.probesPerRequest })
  })
  options.modifyBundle?.(bundle)
  await operators.rollOut(bundle)
  const registerHosts = (hosts: Array<{ name: string, role: string, address: string, dataCentre: string, state: string }>): Promise<unknown> =>
    sendJsonRequest(plan.hostListControl, 'POST', '/hosts', hosts)
  await registerHosts([
    ...plan.entryHosts.map(({ name, peerAddress, dataCentre }) => ({ name, role: 'entry', address: peerAddress, dataCentre, state: 'live' })),
    ...plan.servers.map(({ name, address, dataCentre }) => ({ name, role: 'server', address, dataCentre, state: 'live' }))
  ])
  const servers = (await startInBatches(plan.servers, startServerProcess)).map((process, position): RunningServerProcess => ({ planned: plan.servers[position] as PlannedServer, process }))
  const entryHosts = await startInBatches(plan.entryHosts, startEntryHostProcess)
  await Promise.all(entryHosts.map(({ planned }) => waitUntilReady(planned.guestAddress)))

  const cluster: Cluster = {
    workload,
    plan,
    servers,
    entryHosts,
    operators,
    operatorKey,
    directory,
    runLog,
    policy,
    disturbedAddresses: new Set(),
    restartServer: coalesceCalls(async server => {
      if (!server.process.isRunning()) server.process = await startServerProcess(server.planned)
    }),
    restartExitedServers: async () => { await Promise.all(servers.map(server => cluster.restartServer(server))) },
    setServerState: async ({ planned: { name, address, dataCentre } }, state) => { await registerHosts([{ name, role: 'server', address, dataCentre, state }]) },
    startEntryHost: async position => {
      const planned = planEntryHost(workload, selectLoopbackNetwork(process.pid), position)
      await registerHosts([{ name: planned.name, role: 'entry', address: planned.peerAddress, dataCentre: planned.dataCentre, state: 'live' }])
      const started = await startEntryHostProcess(planned)
      entryHosts.push(started)
      await waitUntilReady(planned.guestAddress)
      return started
    },
    stop: async () => {
      operators.close()
      processes.forEach(({ kill }) => kill('SIGCONT'))
      processes.forEach(({ kill }) => kill('SIGKILL'))
      await Promise.all(processes.map(({ exited }) => exited))
      if (process.env.SISKINBEAM_KEEP_LOGS === undefined) rmSync(directory, { recursive: true, force: true })
    }
  }
  return cluster
}

// Starts processes in batches. If all started at once, the first heartbeats and probes would compete with the
// startup of Node.js for processor time.
async function startInBatches<Planned, Started> (planned: Planned[], startOne: (one: Planned) => Promise<Started>): Promise<Started[]> {
  const first = await Promise.all(planned.slice(0, batchSize).map(startOne))
  return planned.length <= batchSize ? first : [...first, ...await startInBatches(planned.slice(batchSize), startOne)]
}

/** Waits until an entry host reports that it has a bundle and is ready. Rejects after the time `until`, in epoch milliseconds. */
export async function waitUntilReady (guestAddress: string, until = Date.now() + readyTimeoutMilliseconds): Promise<void> {
  const readiness = await sendJsonRequest(guestAddress, 'GET', '/.siskinbeam/ready') as { ready?: boolean } | undefined
  if (readiness?.ready === true) return
  if (Date.now() > until) throw new Error(`entry host ${guestAddress} is not ready after ${readyTimeoutMilliseconds} ms`)
  await new Promise(resolve => setTimeout(resolve, readyPollMilliseconds))
  await waitUntilReady(guestAddress, until)
}
