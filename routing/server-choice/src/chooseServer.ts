// Chooses the server of one request, by the policy of its service. A decision looks at a bounded number
// of servers, so its cost does not depend on how many the service has; only the policy `omniscient`,
// which exists for comparison, looks at all.
import { Policy } from '@siskinbeam/schema/bundle'
import { pickIndex, type Random } from '@siskinbeam/random/createRandom'
import { refreshPool, useFromPool } from '@siskinbeam/probing/reportPool'
import { estimateInFlight, estimateWait } from './estimateWait.js'
import type { ServerChoiceState, ServerLoad } from './choiceState.js'

export interface ChooseServerOptions {
  state: ServerChoiceState
  policy: Policy
  now: number
  random: Random
  /** Share of normal traffic that the server may get, 0 excludes it; see `readServerWeight` of server-health. */
  readWeight: (server: string) => number
  /** Servers that already had this request. */
  excluded: readonly string[]
  /** Exact requests per slot of a server, for policy `omniscient`. */
  readExactLoad?: (server: string) => number
}

type Choose = (options: ChooseServerOptions) => ServerLoad | undefined

/** Chooses a server, or gives undefined if every one is excluded. The caller reports the send as an event. */
export function chooseServer (options: ChooseServerOptions): string | undefined {
  return choosers[options.policy](options)?.name
}

const chooseRoundRobin: Choose = options => {
  const { state } = options
  const start = state.nextRoundRobin % Math.max(1, state.servers.length)
  const chosen = findFrom(state.servers, start, server => isAccepted(options, server)) ??
    findFrom(state.servers, start, server => isAllowed(options, server))
  if (chosen !== undefined) state.nextRoundRobin = state.servers.indexOf(chosen) + 1
  return chosen
}

const chooseOfTwo = (measure: (state: ServerChoiceState, server: ServerLoad, now: number) => number): Choose => options => {
  const [first, second] = [drawServer(options), drawServer(options)]
  if (first === undefined || second === undefined) return first ?? second
  return measure(options.state, second, options.now) < measure(options.state, first, options.now) ? second : first
}

const chooseOmniscient: Choose = options => {
  const { state, random } = options
  const readLoad = options.readExactLoad ?? (name => (state.byName.get(name)?.ownInFlight ?? 0) / (state.byName.get(name)?.slots ?? 1))
  return chooseLeast(state.servers.filter(server => isAllowed(options, server)), ({ name }) => readLoad(name) + random() * tieSpread)
}

// Whether a pooled server is accepted is asked only when it would be the least so far: the weights are
// the dearer part. Drawn servers are accepted already.
const chooseOurs: Choose = options => {
  const { state, now } = options
  let least: ServerLoad | undefined
  let leastWait = Number.POSITIVE_INFINITY
  const consider = (server: ServerLoad, isKnownAccepted: boolean): void => {
    const wait = estimateWait(state, server, now)
    if (wait >= leastWait || !(isKnownAccepted || isAccepted(options, server))) return
    least = server
    leastWait = wait
  }
  refreshPool(state.pool, now).forEach(({ server }) => consider(server, false))
  Array.from({ length: state.tuning.sampledServers }, () => drawServer(options))
    .forEach(server => { if (server !== undefined) consider(server, true) })
  if (least !== undefined) useFromPool(state.pool, least)
  return least
}

const choosers: Record<Policy, Choose> = {
  [Policy.Random]: options => drawServer(options),
  [Policy.RoundRobin]: chooseRoundRobin,
  [Policy.TwoChoicesOwn]: chooseOfTwo((_, server) => server.ownInFlight / server.slots),
  [Policy.TwoChoicesReported]: chooseOfTwo((_, server) => server.reportedInFlight / server.slots),
  [Policy.Omniscient]: chooseOmniscient,
  [Policy.Ours]: chooseOurs
}

// Less than the smallest difference between two loads per slot.
const tieSpread = 1e-6
const drawAttempts = 8

const isAllowed = ({ readWeight, excluded }: ChooseServerOptions, { name }: ServerLoad): boolean =>
  !excluded.includes(name) && readWeight(name) > 0

// A server in slow start is accepted with the probability of its weight.
function isAccepted ({ readWeight, excluded, random }: ChooseServerOptions, { name }: ServerLoad): boolean {
  if (excluded.includes(name)) return false
  const weight = readWeight(name)
  return weight >= 1 || (weight > 0 && random() < weight)
}

// Draws at random until a server is accepted; if few are, takes the next allowed one from a random
// position. The scan is bounded by the size of the subset and happens only when most are excluded.
function drawServer (options: ChooseServerOptions, attempts: number = drawAttempts): ServerLoad | undefined {
  const { state: { servers }, random } = options
  if (servers.length === 0) return undefined
  const drawn = servers[pickIndex(random, servers.length)] as ServerLoad
  if (isAccepted(options, drawn)) return drawn
  if (attempts > 1) return drawServer(options, attempts - 1)
  return findFrom(servers, pickIndex(random, servers.length), server => isAllowed(options, server))
}

// The first match from a position on, wrapping around.
function findFrom (servers: readonly ServerLoad[], start: number, matches: (server: ServerLoad) => boolean): ServerLoad | undefined {
  return servers.find((server, position) => position >= start && matches(server)) ?? servers.find(matches)
}

function chooseLeast (servers: readonly ServerLoad[], measure: (server: ServerLoad) => number): ServerLoad | undefined {
  let least: ServerLoad | undefined
  let leastMeasure = Number.POSITIVE_INFINITY
  servers.forEach(server => {
    const measured = measure(server)
    if (measured >= leastMeasure) return
    least = server
    leastMeasure = measured
  })
  return least
}

/** Requests per slot that a server probably has, for admission and for the state dump. */
export function readEstimatedLoad (state: ServerChoiceState, server: string, now: number): number | undefined {
  const load = state.byName.get(server)
  return load === undefined ? undefined : estimateInFlight(state, load, now) / load.slots
}
