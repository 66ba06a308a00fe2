// Combines the failures that several entry hosts observe at a server. Counts decay exponentially, so that a server that has
// recovered, or that got no requests because of its failures, is tried again.

export interface SendCounts {
  sends: number
  failures: number
}

interface DecayingCounts extends SendCounts {
  /** Time of the last update, in milliseconds of the monotonic clock. */
  at: number
}

export interface FailureEvidence {
  /** Counts by server and by the host that reported them. */
  servers: Map<string, Map<string, DecayingCounts>>
}

export interface RecordSendCountsOptions extends SendCounts {
  evidence: FailureEvidence
  server: string
  /** Host that sent the requests. */
  host: string
  now: number
}

/** A server of which several hosts have seen failures. */
export interface FailingServer {
  server: string
  /** Ratio of the sends that failed, from 0 to 1. */
  failureRatio: number
}

const halfLifeMilliseconds = 4_000
/** Single failures of a healthy server decay below this count. */
const negligibleCount = 0.2
/** The broken link of a single host must not turn other hosts away from a server. */
const minimumHosts = 2
const minimumFailures = 1.5
/** Assumed successful sends, so that few samples do not make a high ratio. */
const priorSends = 1

/** Creates a state without evidence. */
export function createFailureEvidence (): FailureEvidence {
  return { servers: new Map() }
}

/** Adds the counts of new sends that a host made to a server. */
export function recordSendCounts ({ evidence, server, host, sends, failures, now }: RecordSendCountsOptions): void {
  const byHost = evidence.servers.get(server) ?? new Map<string, DecayingCounts>()
  const earlier = decay(byHost.get(host), now)
  byHost.set(host, { sends: earlier.sends + sends, failures: earlier.failures + failures, at: now })
  evidence.servers.set(server, byHost)
}

/** Returns the combined failure ratio of a server, or 0 without sufficient evidence. */
export function readFailureRatio (evidence: FailureEvidence, server: string, now: number): number {
  const counts = [...evidence.servers.get(server)?.values() ?? []].map(reported => decay(reported, now))
  const failures = sum(counts.map(reported => reported.failures))
  const hosts = counts.filter(reported => reported.failures > negligibleCount).length
  return hosts < minimumHosts || failures < minimumFailures ? 0 : failures / (sum(counts.map(reported => reported.sends)) + priorSends)
}

/** Lists the servers with a failure ratio, and forgets counts that have decayed. */
export function listFailingServers (evidence: FailureEvidence, now: number): FailingServer[] {
  evidence.servers.forEach((byHost, server) => {
    byHost.forEach((counts, host) => { if (decay(counts, now).sends < negligibleCount) byHost.delete(host) })
    if (byHost.size === 0) evidence.servers.delete(server)
  })
  return [...evidence.servers.keys()]
    .map(server => ({ server, failureRatio: readFailureRatio(evidence, server, now) }))
    .filter(({ failureRatio }) => failureRatio > 0)
}

function decay (counts: DecayingCounts | undefined, now: number): SendCounts {
  if (counts === undefined) return { sends: 0, failures: 0 }
  const remaining = 0.5 ** ((now - counts.at) / halfLifeMilliseconds)
  return { sends: counts.sends * remaining, failures: counts.failures * remaining }
}

function sum (numbers: number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
