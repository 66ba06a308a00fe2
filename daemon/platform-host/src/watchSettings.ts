// Polls the settings file for changes, which may come with a SIGHUP or without a signal. A file that cannot be read or
// contains an invalid value is ignored as a whole.
import { readFileSync } from 'node:fs'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { readHostSettings, type HostSettings } from '@siskinbeam/platform-adapter/readHostSettings'

export interface WatchSettingsOptions {
  path: string
  logger: Logger
  apply: (settings: HostSettings) => void
}

export interface SettingsWatcher {
  /** Reads the file immediately. */
  check: () => void
  stop: () => void
}

/** The file is cheap to read, and changes need not take effect at once. */
const pollMilliseconds = 2_000

/** Starts polling. Throws if the file cannot be read at the start. */
export function watchSettings ({ path, logger, apply }: WatchSettingsOptions): SettingsWatcher {
  let lastText = readFileSync(path, 'utf8')
  const check = (): void => {
    try {
      const text = readFileSync(path, 'utf8')
      if (text === lastText) return
      lastText = text
      const read = readHostSettings(path)
      if (read.ok) apply(read.settings)
      else logger.error('settings not reloaded', { key: read.key, expected: read.expected })
    } catch (error) {
      logger.error('settings not reloaded', { reason: String(error) })
    }
  }
  const timer = setInterval(check, pollMilliseconds)
  return { check, stop: () => clearInterval(timer) }
}
