// Entry point of the entry host daemon on the users' platform.
import { createLogger, LogLevel } from '@siskinbeam/logging/createLogger'
import { createLogSink } from '@siskinbeam/logging/createLogSink'
import { createSignalQueue, type HandledSignal } from '@siskinbeam/processes/createSignalQueue'
import { surviveUnexpectedErrors } from '@siskinbeam/processes/surviveUnexpectedErrors'
import { settingsFileVariable } from '@siskinbeam/platform-adapter/readHostSettings'
import { awaitSettings } from './awaitSettings.js'
import { startPlatformHost, type RunningPlatformHost } from './startPlatformHost.js'
import { watchSettings, type SettingsWatcher } from './watchSettings.js'

const standardOutput = 1
const failureExitCode = 1
const invalidSettingsExitCode = 78
const flushMilliseconds = 200

async function run (): Promise<void> {
  const signals = createSignalQueue(process)
  const settingsPath = process.env[settingsFileVariable] ?? ''
  const sink = createLogSink({ fileDescriptor: standardOutput, now: () => performance.now() })
  const exit = async (code: number): Promise<void> => {
    if (await sink.flush(flushMilliseconds)) process.exit(code)
    // At its exit, Node.js waits for a write that is in progress, which lasts until somebody reads the log. A signal does not wait.
    process.removeAllListeners('SIGTERM')
    process.kill(process.pid, 'SIGTERM')
  }
  let logger = createLogger({ component: 'entry-host', level: LogLevel.Info, write: sink.write })
  let host: RunningPlatformHost | undefined
  let watcher: SettingsWatcher | undefined
  let mustReload = false
  let ending: Promise<void> | undefined
  const end = async (): Promise<void> => {
    watcher?.stop()
    if (host === undefined) logger.info('start abandoned')
    await host?.shutDown()
  }
  // A further signal during the shutdown must not restart it, since its times count from the first one.
  const shutDown = (): void => {
    ending ??= end().then(() => exit(0), () => exit(failureExitCode))
  }
  const reload = (): void => {
    mustReload = watcher === undefined
    watcher?.check()
  }
  const ignore = (signal: HandledSignal): void => logger.info('signal ignored', { signal })
  signals.handle({ SIGTERM: shutDown, SIGINT: shutDown, SIGHUP: reload, SIGUSR1: ignore, SIGUSR2: ignore })
  const unexpectedErrors = surviveUnexpectedErrors({ source: process, logger: () => logger, now: () => performance.now() })
  const read = await awaitSettings({ path: settingsPath, logger, isAbandoned: () => ending !== undefined })
  if (ending !== undefined) return
  if (!read.ok) {
    logger.error('settings invalid', { key: read.key, expected: read.expected })
    return exit(invalidSettingsExitCode)
  }
  logger = logger.child({ host: read.settings.host })
  read.ignored.forEach(({ key, expected }) => logger.warn('setting ignored', { key, expected }))
  try {
    host = await startPlatformHost({ settings: read.settings, logger, isAbandoned: () => ending !== undefined, countUnexpectedErrors: unexpectedErrors.count })
    watcher = watchSettings({ path: settingsPath, text: read.text, logger, apply: host.applySettings })
    if (mustReload) watcher.check()
  } catch (error) {
    if (ending !== undefined) return
    logger.error('start failed', { reason: (error as Error).message })
    return exit(failureExitCode)
  }
}

// The bundle is a CommonJS module, which does not support top-level await.
run().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`)
  process.exit(failureExitCode)
})
