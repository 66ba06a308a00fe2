// Entry point of the entry host daemon on the users' platform.
import { createLogger, formatLine, LogLevel } from '@siskinbeam/logging/createLogger'
import { createLogSink } from '@siskinbeam/logging/createLogSink'
import { surviveUnexpectedErrors } from '@siskinbeam/processes/surviveUnexpectedErrors'
import { readHostSettings, settingsFileVariable } from '@siskinbeam/platform-adapter/readHostSettings'
import { startPlatformHost } from './startPlatformHost.js'
import { watchSettings } from './watchSettings.js'

const standardOutput = 1
const invalidSettingsExitCode = 78
const flushMilliseconds = 200

async function run (): Promise<void> {
  const settingsPath = process.env[settingsFileVariable] ?? ''
  const sink = createLogSink({ fileDescriptor: standardOutput, now: () => performance.now() })
  const exit = async (code: number): Promise<void> => {
    await sink.flush(flushMilliseconds)
    process.exit(code)
  }
  const read = readHostSettings(settingsPath)
  if (!read.ok) {
    sink.write(formatLine({ event: 'settings invalid', key: read.key, expected: read.expected }))
    return exit(invalidSettingsExitCode)
  }
  const logger = createLogger({ component: 'entry-host', level: LogLevel.Info, fields: { host: read.settings.host }, write: sink.write })
  const host = await startPlatformHost({ settings: read.settings, logger })
  const settings = watchSettings({ path: settingsPath, logger, apply: host.applySettings })
  const shutDown = (): void => {
    settings.stop()
    host.shutDown().then(() => exit(0), () => exit(1))
  }
  process.on('SIGHUP', settings.check)
  process.on('SIGTERM', shutDown)
  surviveUnexpectedErrors({ source: process, logger, now: () => performance.now(), onRepeated: shutDown })
}

// The bundle is a CommonJS module, which does not support top-level await.
run().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`)
  process.exit(1)
})
