// Runs a long-lived process and restarts it after an error. js-csp reports an error thrown in a process only as an
// uncaughtException, which would terminate the daemon. The body therefore runs inside a generator that catches
// the error.
import type { Logger } from '@siskinbeam/logging/createLogger'
import { startProcess, sleep, type ProcessBody } from './channels.js'

const initialRestartDelayMilliseconds = 50
const maximumRestartDelayMilliseconds = 5_000

export interface SuperviseProcessOptions {
  name: string
  logger: Logger
  /** Creates the generator; called on each start. */
  body: () => ProcessBody
}

/** A supervised process. */
export interface SupervisedProcess {
  /** Stops the process at its next step, without a restart. */
  stop: () => void
  restarts: () => number
}

/** Starts a process and restarts it with exponential backoff whenever it throws. */
export function superviseProcess (options: SuperviseProcessOptions): SupervisedProcess {
  const status = { stopped: false, restarts: 0 }

  function * runOnce (): ProcessBody {
    const generator = options.body()
    let operationResult: unknown
    while (!status.stopped) {
      const { done, value } = generator.next(operationResult)
      if (done === true) return
      operationResult = yield value
    }
    generator.return()
  }

  startProcess(function * supervise (): ProcessBody {
    while (!status.stopped) {
      try {
        yield * runOnce()
        return
      } catch (error) {
        const delay = Math.min(initialRestartDelayMilliseconds * 2 ** status.restarts, maximumRestartDelayMilliseconds)
        status.restarts += 1
        options.logger.error('process failed', { process: options.name, restarts: status.restarts, reason: String(error), restartInMilliseconds: delay })
        yield sleep(delay)
      }
    }
  })

  return { stop: () => { status.stopped = true }, restarts: () => status.restarts }
}
