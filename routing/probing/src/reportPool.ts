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

export interface PooledReport {
  server: string
  /** When the server made the report, in the time of this host. */
  at: number
  uses: number
}

export interface ReportPool {
  limits: ReportPoolLimits
  entries: PooledReport[]
}

/** Creates an empty pool. */
export function createReportPool (limits: ReportPoolLimits = defaultReportPoolLimits): ReportPool {
  return { limits, entries: [] }
}

/** Adds a report of a server in place of its former one. */
export function addToPool (pool: ReportPool, server: string, at: number): void {
  const present = pool.entries.findIndex(entry => entry.server === server)
  if (present >= 0) pool.entries.splice(present, 1)
  else if (pool.entries.length >= pool.limits.capacity) pool.entries.shift()
  pool.entries.push({ server, at, uses: 0 })
}

/** Drops reports that are too old or used up and gives the rest. The array belongs to the pool. */
export function refreshPool (pool: ReportPool, now: number): readonly PooledReport[] {
  const { maximumUses, maximumAgeMilliseconds } = pool.limits
  const isUsable = ({ at, uses }: PooledReport): boolean => uses < maximumUses && now - at <= maximumAgeMilliseconds
  if (!pool.entries.every(isUsable)) pool.entries = pool.entries.filter(isUsable)
  return pool.entries
}

/** Counts one use of the report of a server, if it is in the pool. */
export function useFromPool (pool: ReportPool, server: string): void {
  const entry = pool.entries.find(candidate => candidate.server === server)
  if (entry !== undefined) entry.uses += 1
}

/** Removes a server, for example because it is leaving. */
export function removeFromPool (pool: ReportPool, server: string): void {
  pool.entries = pool.entries.filter(entry => entry.server !== server)
}
