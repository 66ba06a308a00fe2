// Runs a long-lived process and restarts it after an error. js-csp reports an error thrown inside a
// process only through uncaughtException, which would end the daemon, so the body is run by a
// generator that catches the error itself.
import type { Logger } from '@siskinbeam/logging/createLogger'
import { startProcess, sleep, type ProcessBody } from './channels.js'

const firstRestartDelayMilliseconds = 50
const longestRestartDelayMilliseconds = 5_000

export interface SuperviseProcessOptions {
  name: string
  logger: Logger
  /** Called at each start; makes the body anew. */
  body: () => ProcessBody
}

/** A supervised process. */
export interface SupervisedProcess {
  /** Ends the process at its next step, without a restart. */
  stop: () => void
  restarts: () => number
}

/** Starts a process and restarts it with a growing delay whenever it throws. */
export function superviseProcess (options: SuperviseProcessOptions): SupervisedProcess {
  const status = { stopped: false, restarts: 0 }

  function * runOnce (): ProcessBody {
    const steps = options.body()
    let resumedWith: unknown
    while (!status.stopped) {
      const { done, value } = steps.next(resumedWith)
      if (done === true) return
      resumedWith = yield value
    }
    steps.return()
  }

  startProcess(function * supervise (): ProcessBody {
    while (!status.stopped) {
      try {
        yield * runOnce()
        return
      } catch (error) {
        const delay = Math.min(firstRestartDelayMilliseconds * 2 ** status.restarts, longestRestartDelayMilliseconds)
        status.restarts += 1
        options.logger.error('process failed', { process: options.name, restarts: status.restarts, reason: String(error), restartInMilliseconds: delay })
        yield sleep(delay)
      }
    }
  })

  return { stop: () => { status.stopped = true }, restarts: () => status.restarts }
}
