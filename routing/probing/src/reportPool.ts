// Pool of recent load reports of one service: at most one report per server, newest last. A report is
// removed when it expires, reaches its use limit, or is evicted by a newer one. The pool has a fixed
// capacity, so the cost of choosing from it does not depend on the number of servers.

export interface ReportPoolLimits {
  capacity: number
  maximumUses: number
  maximumAgeMilliseconds: number
}

// A report is used once: several hosts that see the same free slot and each use it twice overload the server.
// The README of policy-comparison lists the latencies with one and with three uses.
export const defaultReportPoolLimits: ReportPoolLimits = { capacity: 16, maximumUses: 1, maximumAgeMilliseconds: 1_000 }

export interface PooledReport<Server> {
  server: Server
  /** When the server created the report, on this host's clock, in milliseconds. */
  reportedAt: number
  uses: number
}

/** Servers are compared with `===`, so they can be names or object references. */
export interface ReportPool<Server> {
  limits: ReportPoolLimits
  entries: Array<PooledReport<Server>>
}

/** Creates an empty pool. */
export function createReportPool<Server> (limits: ReportPoolLimits = defaultReportPoolLimits): ReportPool<Server> {
  return { limits, entries: [] }
}

/** Adds a report, replacing an earlier one of the same server. Evicts the oldest entry if the pool is full. */
export function addToPool<Server> (pool: ReportPool<Server>, server: Server, reportedAt: number): void {
  const existingIndex = pool.entries.findIndex(entry => entry.server === server)
  if (existingIndex >= 0) pool.entries.splice(existingIndex, 1)
  else if (pool.entries.length >= pool.limits.capacity) pool.entries.shift()
  pool.entries.push({ server, reportedAt, uses: 0 })
}

/** Removes reports that have expired or reached their use limit and returns the rest. The pool owns the array. */
export function pruneReportPool<Server> (pool: ReportPool<Server>, now: number): ReadonlyArray<PooledReport<Server>> {
  const { maximumUses, maximumAgeMilliseconds } = pool.limits
  const isUsable = ({ reportedAt, uses }: PooledReport<Server>): boolean => uses < maximumUses && now - reportedAt <= maximumAgeMilliseconds
  if (!pool.entries.every(isUsable)) pool.entries = pool.entries.filter(isUsable)
  return pool.entries
}

/** Increments the use count of a server's report, if it is in the pool. */
export function recordReportUse<Server> (pool: ReportPool<Server>, server: Server): void {
  const entry = pool.entries.find(candidate => candidate.server === server)
  if (entry !== undefined) entry.uses += 1
}

/** Removes the report of a server, for example one that sheds requests. */
export function removeFromPool<Server> (pool: ReportPool<Server>, server: Server): void {
  pool.entries = pool.entries.filter(entry => entry.server !== server)
}
