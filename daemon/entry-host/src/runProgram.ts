// The program of the executable `siskinbeam`: reads the settings, starts the entry host, and shuts it down gracefully on SIGTERM and
// SIGINT. SIGUSR2 writes the state dump to standard error; SIGHUP and SIGUSR1 do nothing.
import { createLogger } from '@siskinbeam/logging/createLogger'
import type { HandledSignal, SignalQueue } from '@siskinbeam/processes/createSignalQueue'
import { surviveUnexpectedErrors } from '@siskinbeam/processes/surviveUnexpectedErrors'
import { formatCodedError } from '@siskinbeam/result-codes/codedError'
import { readSettings } from '@siskinbeam/settings/readSettings'
import { entryHostSettings } from './entryHostSettings.js'
import { startEntryHost, type RunningEntryHost } from './startEntryHost.js'

const invalidSettingsExitCode = 2
const failureExitCode = 1

/** Runs the program in this process, which ends with it. */
export async function runProgram (signals: SignalQueue): Promise<void> {
  const settings = readSettings({
    program: 'siskinbeam',
    description: 'Entry host of a siskinbeam load balancer',
    definitions: entryHostSettings,
    arguments: process.argv.slice(2),
    environment: process.env,
    version: '0.1.0'
  })
  if (!settings.ok) {
    process.stderr.write(formatCodedError(settings.error) + '\n')
    process.exit(invalidSettingsExitCode)
  }
  if (settings.value.printRequested) {
    process.stdout.write(settings.value.print() + '\n')
    process.exit(0)
  }
  const logger = createLogger({ component: 'entry-host' })
  let host: RunningEntryHost | undefined
  let ending: Promise<void> | undefined
  let mustDump = false
  const shutDown = (): void => {
    ending ??= (host?.shutDown() ?? Promise.resolve()).then(() => process.exit(0), () => process.exit(failureExitCode))
  }
  const dump = (): void => {
    mustDump = host === undefined
    if (host !== undefined) process.stderr.write(host.dump() + '\n')
  }
  const ignore = (signal: HandledSignal): void => logger.info('signal ignored', { signal })
  signals.handle({ SIGTERM: shutDown, SIGINT: shutDown, SIGHUP: ignore, SIGUSR1: ignore, SIGUSR2: dump })
  const unexpectedErrors = surviveUnexpectedErrors({ source: process, logger: () => logger, now: () => performance.now() })
  try {
    const running = await startEntryHost(settings.value.values, { isAbandoned: () => ending !== undefined, countUnexpectedErrors: unexpectedErrors.count })
    if (!running.ok) {
      process.stderr.write(formatCodedError(running.error) + '\n')
      process.exit(invalidSettingsExitCode)
    }
    host = running.value
    process.stdout.write(`ready guests=${host.guestAddress} peers=${host.peerAddress}\n`)
    if (mustDump) dump()
  } catch (error) {
    process.stderr.write(`the entry host failed to start: ${(error as Error).message}\n`)
    process.exit(failureExitCode)
  }
}
