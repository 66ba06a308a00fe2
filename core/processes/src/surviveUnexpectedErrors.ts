// Keeps the process running after an error that no code handles. The state of each request and connection is its own, so
// an error in one of them must not end all others. Repeated errors do not end the process either: what provokes them would
// end its successors and the other hosts in the same way, while each end cuts off the work of everybody else.
import type { Logger } from '@siskinbeam/logging/createLogger'

/** The events of Node.js's `process` that are observed. */
export interface ErrorSource {
  on: (event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void) => unknown
}

export interface SurviveUnexpectedErrorsOptions {
  source: ErrorSource
  /** Returns the logger, which may change during the start. */
  logger: () => Logger
  /** Milliseconds of the monotonic clock. */
  now: () => number
}

export interface UnexpectedErrors {
  /** Number of errors so far. */
  count: () => number
}

const windowMilliseconds = 60_000
const maximumLinesPerWindow = 10

/** Logs unexpected errors instead of ending the process: at most ten in a minute with their place, and the number of those that were left out. */
export function surviveUnexpectedErrors ({ source, logger, now }: SurviveUnexpectedErrorsOptions): UnexpectedErrors {
  let errors = 0
  let windowStartedAt = -Infinity
  let lines = 0
  let notLogged = 0
  const handle = (kind: string) => (error: unknown): void => {
    errors += 1
    if (now() - windowStartedAt >= windowMilliseconds) {
      if (notLogged > 0) logger().error('unexpected errors not logged', { errors: notLogged })
      windowStartedAt = now()
      lines = 0
      notLogged = 0
    }
    if (lines >= maximumLinesPerWindow) {
      notLogged += 1
      return
    }
    lines += 1
    logger().error('unexpected error', { kind, reason: describeError(error), errors })
  }
  source.on('uncaughtException', handle('exception'))
  source.on('unhandledRejection', handle('rejection'))
  return { count: () => errors }
}

/** Describes anything that can be thrown, also an object that has no text. */
function describeError (error: unknown): string {
  try {
    return error instanceof Error ? error.stack ?? error.message : String(error)
  } catch {
    return 'an object without a description'
  }
}
