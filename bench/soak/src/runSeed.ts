// One soak: starts the system, sends requests through the faults of a seed, waits until all is calm, and
// checks the promises.
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { Path } from '@siskinbeam/platform-adapter/wire'
import type { RunLine } from '@siskinbeam/stand-in-platform-server/runLine'
import { BrokenPromise, checkPromises, type Violation } from './checkPromises.js'
import { driveGuests, exchange, sendRequest, type SeenRequest } from './driveGuests.js'
import { injectFault } from './injectFault.js'
import { planFaults } from './planFaults.js'
import { drainMilliseconds, guestHost, routeTimeoutMilliseconds, startFleet, type Fleet, type SoakHost } from './startFleet.js'

export interface RunSeedOptions {
  seed: number
  milliseconds: number
  hosts: number
  servers: number
  guests: number
  /** Requests of one guest in a second. */
  rate: number
  directory: string
  /** Whether answers must be in time; false where other load may hold up the processes. */
  checksTimes: boolean
  report: (line: string) => void
}

export interface SeedResult {
  seed: number
  requests: number
  answered: number
  faults: number
  violations: Violation[]
}

const readyMilliseconds = 15_000
const pollMilliseconds = 50
/** A final answer is due half a second after the timeout; the rest is for the processes of the soak. */
const latestAnswerMilliseconds = routeTimeoutMilliseconds + 1_000
const drainSlackMilliseconds = 1_000
const calmRequests = 10

/** Runs one seed. */
export async function runSeed (options: RunSeedOptions): Promise<SeedResult> {
  const { seed, directory, report } = options
  const fleet = await startFleet({ directory, hosts: options.hosts, servers: options.servers })
  try {
    const notReady = await waitForHosts(fleet.hosts, isReady)
    const plan = planFaults({ seed, milliseconds: options.milliseconds })
    const injected = Promise.all(plan.map(async fault => {
      await pause(fault.at)
      report(`${(fault.at / 1_000).toFixed(1)} s ${fault.kind} for ${Math.round(fault.lastsMilliseconds)} ms`)
      await injectFault(fleet, fault)
    }))
    const seen = await driveGuests({ hosts: fleet.hosts, seed, guests: options.guests, milliseconds: options.milliseconds, rate: options.rate })
    await injected
    const late = notReady.concat(await checkRecovery(fleet, seed))
    const ended = fleet.hosts.filter(({ child }) => !child.isRunning()).map(({ name }) => ({ promise: BrokenPromise.EndedByItself, request: '', detail: name }))
    const violations = checkPromises({
      seen,
      runs: readRuns(directory),
      disturbancesOf: name => fleet.hosts.find(host => host.name === name)?.disturbances ?? [],
      latestAnswerMilliseconds: options.checksTimes ? latestAnswerMilliseconds : undefined
    })
    return { seed, requests: seen.length, answered: seen.filter(({ status }) => status === 200).length, faults: plan.length, violations: [...violations, ...late, ...ended] }
  } finally {
    await fleet.stop()
  }
}

/** After all faults: every host is ready, follows a change and serves, and a server that leaves gets no requests. */
async function checkRecovery (fleet: Fleet, seed: number): Promise<Violation[]> {
  const notReady = await waitForHosts(fleet.hosts, isReady)
  fleet.putConfiguration()
  const version = fleet.configurationVersion
  const outdated = await waitForHosts(fleet.hosts, host => servesVersion(host, version))
  const leaving = fleet.servers[0]
  const retired = leaving === undefined ? Promise.resolve() : fleet.retireServer(leaving)
  await pause(drainMilliseconds)
  const calmFrom = Date.now()
  const seen = await Promise.all(fleet.hosts.flatMap(host => Array.from({ length: calmRequests }, async (_, index) => {
    await pause(index * 20)
    return sendRequest({ host, agent: false, id: `${seed}-calm-${host.name}-${index}`, unsafe: index % 2 === 0 })
  })))
  await retired
  const unserved = fleet.hosts
    .filter(({ name }) => seen.every((request: SeenRequest) => request.host !== name || request.status !== 200))
    .map(({ name }) => ({ promise: BrokenPromise.NotRecovered, request: '', detail: `${name} serves none of ${calmRequests} requests` }))
  const misplaced = readRuns(fleet.directory)
    .filter(({ server, at }) => server === leaving?.id && at > calmFrom + drainSlackMilliseconds)
    .map(({ request }) => ({ promise: BrokenPromise.RanOnLeavingServer, request, detail: leaving?.id ?? '' }))
  return [...notReady, ...outdated, ...unserved, ...misplaced]
}

async function waitForHosts (hosts: SoakHost[], condition: (host: SoakHost) => Promise<boolean>): Promise<Violation[]> {
  const end = Date.now() + readyMilliseconds
  const waitFor = async (host: SoakHost): Promise<boolean> => {
    if (await condition(host)) return true
    if (Date.now() > end) return false
    await pause(pollMilliseconds)
    return waitFor(host)
  }
  const met = await Promise.all(hosts.map(waitFor))
  return hosts.filter((_, index) => met[index] === false).map(({ name }) => ({ promise: BrokenPromise.NotRecovered, request: '', detail: `${name} after ${readyMilliseconds} ms` }))
}

async function isReady ({ readinessAddress }: SoakHost): Promise<boolean> {
  return (await exchange({ address: readinessAddress, method: 'GET', path: Path.Readiness, headers: {}, patienceMilliseconds: 1_000 })).status === 200
}

async function servesVersion ({ guestAddress }: SoakHost, version: number): Promise<boolean> {
  const { status } = await exchange({ address: guestAddress, method: 'GET', path: `/added/${version}/x`, headers: { host: guestHost }, patienceMilliseconds: 2_000 })
  return status !== 0 && status !== 404
}

function readRuns (directory: string): RunLine[] {
  return readdirSync(directory)
    .filter(name => name.startsWith('runs-'))
    .flatMap(name => readFileSync(join(directory, name), 'utf8').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as RunLine))
}
