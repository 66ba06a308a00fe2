// The pool of recent load reports of one service: at most one per server, the newest last. A report
// leaves the pool when it is too old, used up, or displaced. Choosing among the pool costs the same
// however many servers there are.

export interface ReportPoolLimits {
  capacity: number
  maximumUses: number
  maximumAgeMilliseconds: number
}

// One use: hosts that see the same free slot and each use it twice overload the server. Measured, see the policy comparison.
export const defaultReportPoolLimits: ReportPoolLimits = { capacity: 16, maximumUses: 1, maximumAgeMilliseconds: 1_000 }

export interface PooledReport<Server> {
  server: Server
  /** When the server made the report, in the time of this host. */
  at: number
  uses: number
}

/** Servers are compared by identity: names or records. */
export interface ReportPool<Server> {
  limits: ReportPoolLimits
  entries: Array<PooledReport<Server>>
}

/** Creates an empty pool. */
export function createReportPool<Server> (limits: ReportPoolLimits = defaultReportPoolLimits): ReportPool<Server> {
  return { limits, entries: [] }
}

/** Adds a report of a server in place of its former one. */
export function addToPool<Server> (pool: ReportPool<Server>, server: Server, at: number): void {
  const present = pool.entries.findIndex(entry => entry.server === server)
  if (present >= 0) pool.entries.splice(present, 1)
  else if (pool.entries.length >= pool.limits.capacity) pool.entries.shift()
  pool.entries.push({ server, at, uses: 0 })
}

/** Drops reports that are too old or used up and gives the rest. The array belongs to the pool. */
export function refreshPool<Server> (pool: ReportPool<Server>, now: number): ReadonlyArray<PooledReport<Server>> {
  const { maximumUses, maximumAgeMilliseconds } = pool.limits
  const isUsable = ({ at, uses }: PooledReport<Server>): boolean => uses < maximumUses && now - at <= maximumAgeMilliseconds
  if (!pool.entries.every(isUsable)) pool.entries = pool.entries.filter(isUsable)
  return pool.entries
}

/** Counts one use of the report of a server, if it is in the pool. */
export function useFromPool<Server> (pool: ReportPool<Server>, server: Server): void {
  const entry = pool.entries.find(candidate => candidate.server === server)
  if (entry !== undefined) entry.uses += 1
}

/** Removes a server, for example because it is leaving. */
export function removeFromPool<Server> (pool: ReportPool<Server>, server: Server): void {
  pool.entries = pool.entries.filter(entry => entry.server !== server)
}
