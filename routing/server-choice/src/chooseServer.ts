// Chooses the server for a request according to the policy of its service. A decision examines a bounded
// number of servers, so its cost does not depend on the size of the service. Only the policy `omniscient`,
// which is a baseline for comparisons, examines all servers.
import { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import { pickIndex, type Random } from '@siskinbeam/random/createRandom'
import { pruneReportPool, recordReportUse } from '@siskinbeam/probing/reportPool'
import { estimateInFlight, estimateWait } from './estimateWait.js'
import type { ServerChoiceState, ServerStatistics } from './choiceState.js'

export interface ChooseServerOptions {
  state: ServerChoiceState
  policy: LoadBalancingPolicy
  now: number
  random: Random
  /** Returns the share of normal traffic that the server may get; 0 excludes it. See `readServerWeight` in server-health. */
  readWeight: (server: string) => number
  /** Servers to which this request was already sent. */
  excluded: readonly string[]
  /** Returns the actual requests per slot of a server, for the policy `omniscient`. */
  readExactLoad?: (server: string) => number
}

type PolicyFunction = (options: ChooseServerOptions) => ServerStatistics | undefined

/** Chooses a server, or returns undefined if all are excluded. The caller reports the send as a `Sent` event. */
export function chooseServer (options: ChooseServerOptions): string | undefined {
  return policyFunctions[options.policy](options)?.name
}

const chooseRoundRobin: PolicyFunction = options => {
  const { state } = options
  const start = state.nextRoundRobin % Math.max(1, state.servers.length)
  const chosen = findFirstFrom(state.servers, start, server => isAccepted(options, server)) ??
    findFirstFrom(state.servers, start, server => isEligible(options, server))
  if (chosen !== undefined) state.nextRoundRobin = state.servers.indexOf(chosen) + 1
  return chosen
}

const createTwoChoicesPolicy = (measure: (state: ServerChoiceState, server: ServerStatistics, now: number) => number): PolicyFunction => options => {
  const [first, second] = [sampleServer(options), sampleServer(options)]
  if (first === undefined || second === undefined) return first ?? second
  return measure(options.state, second, options.now) < measure(options.state, first, options.now) ? second : first
}

const chooseOmniscient: PolicyFunction = options => {
  const { state, random } = options
  const readLoad = options.readExactLoad ?? (name => (state.byName.get(name)?.ownInFlight ?? 0) / (state.byName.get(name)?.slots ?? 1))
  return findMinimum(state.servers.filter(server => isEligible(options, server)), ({ name }) => readLoad(name) + random() * tieBreakRange)
}

// Policy `ours`: the minimum expected wait over the report pool and some random servers. A pooled server is
// checked for acceptance only if it has the minimum so far, because reading weights is the more expensive
// part. Sampled servers have already passed the check.
const chooseLeastWait: PolicyFunction = options => {
  const { state, now } = options
  let least: ServerStatistics | undefined
  let leastWait = Number.POSITIVE_INFINITY
  const consider = (server: ServerStatistics, alreadyAccepted: boolean): void => {
    const wait = estimateWait(state, server, now)
    if (wait >= leastWait || !(alreadyAccepted || isAccepted(options, server))) return
    least = server
    leastWait = wait
  }
  pruneReportPool(state.pool, now).forEach(({ server }) => consider(server, false))
  Array.from({ length: state.tuning.sampledServers }, () => sampleServer(options))
    .forEach(server => { if (server !== undefined) consider(server, true) })
  if (least !== undefined) recordReportUse(state.pool, least)
  return least
}

const policyFunctions: Record<LoadBalancingPolicy, PolicyFunction> = {
  [LoadBalancingPolicy.Random]: options => sampleServer(options),
  [LoadBalancingPolicy.RoundRobin]: chooseRoundRobin,
  [LoadBalancingPolicy.TwoChoicesOwn]: createTwoChoicesPolicy((_, server) => server.ownInFlight / server.slots),
  [LoadBalancingPolicy.TwoChoicesReported]: createTwoChoicesPolicy((_, server) => server.reportedInFlight / server.slots),
  [LoadBalancingPolicy.Omniscient]: chooseOmniscient,
  [LoadBalancingPolicy.Ours]: chooseLeastWait
}

// Random tie-breaking range, smaller than any difference between two loads per slot.
const tieBreakRange = 1e-6
const maximumSampleAttempts = 8

const isEligible = ({ readWeight, excluded }: ChooseServerOptions, { name }: ServerStatistics): boolean =>
  !excluded.includes(name) && readWeight(name) > 0

// Accepts a server with a probability equal to its weight, which is below 1 during slow start.
function isAccepted ({ readWeight, excluded, random }: ChooseServerOptions, { name }: ServerStatistics): boolean {
  if (excluded.includes(name)) return false
  const weight = readWeight(name)
  return weight >= 1 || (weight > 0 && random() < weight)
}

// Rejection sampling: picks random servers until one is accepted. After the maximum number of attempts, returns
// the first eligible server from a random position. That scan is bounded by the size of the subset and occurs
// only if most servers are excluded.
function sampleServer (options: ChooseServerOptions, attempts: number = maximumSampleAttempts): ServerStatistics | undefined {
  const { state: { servers }, random } = options
  if (servers.length === 0) return undefined
  const candidate = servers[pickIndex(random, servers.length)] as ServerStatistics
  if (isAccepted(options, candidate)) return candidate
  if (attempts > 1) return sampleServer(options, attempts - 1)
  return findFirstFrom(servers, pickIndex(random, servers.length), server => isEligible(options, server))
}

// Returns the first match at or after a position, wrapping around at the end.
function findFirstFrom (servers: readonly ServerStatistics[], start: number, matches: (server: ServerStatistics) => boolean): ServerStatistics | undefined {
  return servers.find((server, position) => position >= start && matches(server)) ?? servers.find(matches)
}

function findMinimum (servers: readonly ServerStatistics[], measure: (server: ServerStatistics) => number): ServerStatistics | undefined {
  let least: ServerStatistics | undefined
  let minimum = Number.POSITIVE_INFINITY
  servers.forEach(server => {
    const measured = measure(server)
    if (measured >= minimum) return
    least = server
    minimum = measured
  })
  return least
}

/** Returns the estimated requests per slot of a server; undefined if the server is unknown. */
export function readEstimatedLoad (state: ServerChoiceState, server: string, now: number): number | undefined {
  const load = state.byName.get(server)
  return load === undefined ? undefined : estimateInFlight(state, load, now) / load.slots
}
