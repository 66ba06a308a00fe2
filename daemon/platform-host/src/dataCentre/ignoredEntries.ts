// Logs entries of servers that register no server since a field is invalid. Another program may write any number of them.
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { ParsedServerRow } from '@siskinbeam/platform-adapter/parseServerRow'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'

const maximumLogged = 20
const intervalMilliseconds = 60_000

export interface LogIgnoredEntriesOptions {
  logger: Logger
  count: (metric: string) => void
  now: () => number
}

/** Returns a function that counts the invalid rows and logs a limited number of them in each minute. */
export function logIgnoredEntries ({ logger, count, now }: LogIgnoredEntriesOptions): (rows: ParsedServerRow[]) => void {
  let startedAt = -Infinity
  let logged = 0
  return rows => rows.filter(({ invalidField }) => invalidField !== undefined).forEach(({ id, version, invalidField }) => {
    count('server_entries_ignored_total')
    if (now() - startedAt > intervalMilliseconds) [startedAt, logged] = [now(), 0]
    logged += 1
    if (logged <= maximumLogged) logger.warn('server entry ignored', { server: id, code: ResultCode.ServerEntryInvalid, field: invalidField, version })
  })
}
