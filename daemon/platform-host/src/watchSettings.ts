// Polls the settings file for changes, which may come with a SIGHUP or without a signal. A file that cannot be read or
// contains an invalid value, or is not completely written, is ignored as a whole.
import { readFileSync } from 'node:fs'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { parseHostSettings, settingsFileVariable, type HostSettings } from '@siskinbeam/platform-adapter/readHostSettings'

export interface WatchSettingsOptions {
  path: string
  /** Text of the file when the settings in force were read. */
  text: string
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

/** Starts polling. */
export function watchSettings ({ path, text: initialText, logger, apply }: WatchSettingsOptions): SettingsWatcher {
  let lastText: string | undefined = initialText
  const check = (): void => {
    const text = readText()
    if (text === lastText) return
    lastText = text
    const read = text === undefined ? { ok: false as const, key: settingsFileVariable, expected: 'a readable file' } : parseHostSettings(text)
    const invalid = read.ok ? read.ignored[0] : read
    if (read.ok && invalid === undefined) apply(read.settings)
    else logger.error('settings not reloaded', { key: invalid?.key, expected: invalid?.expected })
  }
  const readText = (): string | undefined => {
    try {
      return readFileSync(path, 'utf8')
    } catch {
      // The file is missing while it is replaced, which the check reports if it lasts.
      return undefined
    }
  }
  const timer = setInterval(check, pollMilliseconds)
  return { check, stop: () => clearInterval(timer) }
}
