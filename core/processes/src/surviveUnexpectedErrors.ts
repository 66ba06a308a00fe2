// Keeps the process running after an error that no code handles. The state of each request and connection is its own, so
// an error in one of them must not end all others. A process with repeated errors is replaced by a graceful shutdown.
import type { Logger } from '@siskinbeam/logging/createLogger'

/** The events of Node.js's `process` that are observed. */
export interface ErrorSource {
  on: (event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void) => unknown
}

export interface SurviveUnexpectedErrorsOptions {
  source: ErrorSource
  logger: Logger
  /** Milliseconds of the monotonic clock. */
  now: () => number
  /** Called once when errors repeat, to shut the process down gracefully. */
  onRepeated: () => void
}

const windowMilliseconds = 60_000
const maximumErrorsPerWindow = 10

/** Logs unexpected errors instead of ending the process. */
export function surviveUnexpectedErrors ({ source, logger, now, onRepeated }: SurviveUnexpectedErrorsOptions): void {
  let times: number[] = []
  let shuttingDown = false
  const handle = (kind: string) => (error: unknown): void => {
    times = [...times.filter(time => now() - time < windowMilliseconds), now()]
    logger.error('unexpected error', { kind, reason: error instanceof Error ? error.stack ?? error.message : String(error), errorsInWindow: times.length })
    if (times.length <= maximumErrorsPerWindow || shuttingDown) return
    shuttingDown = true
    onRepeated()
  }
  source.on('uncaughtException', handle('exception'))
  source.on('unhandledRejection', handle('rejection'))
}
