// Entry point of the daemon on the users' platform.
import { LogLevel } from '@siskinbeam/logging/createLogger'
import { readHostSettings, settingsFileVariable } from '@siskinbeam/platform-adapter/readHostSettings'
import { startPlatformHost } from './startPlatformHost.js'

const settingsPath = process.env[settingsFileVariable] ?? ''
const invalidSettingsExitCode = 78
const writeLog = (line: string): void => { process.stdout.write(line + '\n') }

const read = readHostSettings(settingsPath)
if (!read.ok) {
  writeLog(`event="settings invalid" key=${read.key} expected=${JSON.stringify(read.expected)}`)
  process.exit(invalidSettingsExitCode)
}
const host = await startPlatformHost({ settings: read.settings, logLevel: LogLevel.Info, writeLog })

process.on('SIGTERM', () => { host.leave().then(() => process.exit(0), () => process.exit(1)) })
process.on('SIGHUP', () => {
  const reread = readHostSettings(settingsPath)
  if (reread.ok) host.applySettings(reread.settings)
  else writeLog(`event="settings not reloaded" key=${reread.key} expected=${JSON.stringify(reread.expected)}`)
})
