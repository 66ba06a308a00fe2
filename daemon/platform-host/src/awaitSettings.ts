// Reads the settings file at the start. The platform writes it at every start and whenever the settings change, so a host can find it
// missing or not completely written.
import { readFileSync } from 'node:fs'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { parseHostSettings, settingsFileVariable, type HostSettings, type InvalidSetting } from '@siskinbeam/platform-adapter/readHostSettings'

export interface AwaitSettingsOptions {
  path: string
  logger: Logger
  /** Whether the host has to end before it has started. */
  isAbandoned: () => boolean
  limitMilliseconds?: number
}

export type AwaitedSettings = { ok: true, settings: HostSettings, ignored: InvalidSetting[], text: string } | { ok: false } & InvalidSetting

/** A file is written within moments, and what is missing is logged at once. A start that waits longer costs less than one that ends and is repeated. */
const defaultLimitMilliseconds = 30_000
const retryMilliseconds = 100

/** Resolves with the settings once they are valid, or with the key that was missing or invalid until the limit. */
export async function awaitSettings ({ path, logger, isAbandoned, limitMilliseconds = defaultLimitMilliseconds }: AwaitSettingsOptions): Promise<AwaitedSettings> {
  const startedAt = performance.now()
  const first = readSettings(path)
  if (first.ok) return first
  logger.warn('settings incomplete', { key: first.key, expected: first.expected })
  const retry = async (): Promise<AwaitedSettings> => {
    await new Promise(resolve => setTimeout(resolve, retryMilliseconds))
    const read = readSettings(path)
    if (read.ok) logger.info('settings complete', { milliseconds: Math.round(performance.now() - startedAt) })
    return read.ok || isAbandoned() || performance.now() - startedAt >= limitMilliseconds ? read : retry()
  }
  return retry()
}

function readSettings (path: string): AwaitedSettings {
  try {
    const text = readFileSync(path, 'utf8')
    const read = parseHostSettings(text)
    return read.ok ? { ...read, text } : read
  } catch (error) {
    return { ok: false, key: settingsFileVariable, expected: `a readable file: ${(error as Error).message}` }
  }
}
