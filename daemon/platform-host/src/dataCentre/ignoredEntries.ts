// Logs what is ignored since a field is invalid: entries of servers in the store, and reports of other hosts. Other programs may send
// any number of them.
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { ParsedServerRow } from '@siskinbeam/platform-adapter/parseServerRow'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'

const maximumLogged = 20
const intervalMilliseconds = 60_000

export interface LogIgnoredOptions {
  logger: Logger
  count: (metric: string) => void
  now: () => number
}

/** What hosts report of servers to each other. */
export enum PeerReport {
  Departures = 'departures',
  Leaving = 'leaving',
  Limits = 'limits'
}

/** Returns a function that counts the invalid rows and logs a limited number of them in each minute. */
export function logIgnoredEntries ({ logger, count, now }: LogIgnoredOptions): (rows: ParsedServerRow[]) => void {
  const mayLog = createLogLimit(now)
  return rows => rows.filter(({ invalidField }) => invalidField !== undefined).forEach(({ id, version, invalidField }) => {
    count('server_entries_ignored_total')
    if (mayLog()) logger.warn('server entry ignored', { server: id, code: ResultCode.ServerEntryInvalid, field: invalidField, version })
  })
}

/** Returns a function that counts reports of a host that can't be, and logs a limited number of them in each minute. */
export function logIgnoredReports ({ logger, count, now }: LogIgnoredOptions): (report: PeerReport, from: string) => void {
  const mayLog = createLogLimit(now)
  return (report, from) => {
    count(`peer_reports_ignored_total{report="${report}"}`)
    if (mayLog()) logger.warn('peer report ignored', { host: from, code: ResultCode.PeerReportInvalid, report })
  }
}

function createLogLimit (now: () => number): () => boolean {
  let startedAt = -Infinity
  let logged = 0
  return () => {
    if (now() - startedAt > intervalMilliseconds) [startedAt, logged] = [now(), 0]
    logged += 1
    return logged <= maximumLogged
  }
}
