// Checks reports of crash suspects from other hosts and from rows of the store, which other programs may write as well.
import type { SuspectReport } from '@siskinbeam/crash-suspects/crashTypes'

/** More deaths add nothing, since a request is blamed for three. */
export const maximumDeaths = 64

/** Whether a value describes a suspect. */
export function isSuspectReport (value: unknown): value is SuspectReport {
  const { fingerprint, deaths, clearedDeaths, succeededBefore } = (value ?? {}) as Partial<SuspectReport>
  return typeof fingerprint === 'string' && fingerprint.length <= 100 && typeof succeededBefore === 'boolean' &&
    Array.isArray(clearedDeaths) && clearedDeaths.length <= maximumDeaths && clearedDeaths.every(key => typeof key === 'string') &&
    Array.isArray(deaths) && deaths.length <= maximumDeaths && deaths.every(isReportedDeath)
}

function isReportedDeath (value: unknown): boolean {
  const { server, boot, agoMilliseconds, requestAgeMilliseconds } = (value ?? {}) as Partial<SuspectReport['deaths'][number]>
  return typeof server === 'string' && typeof boot === 'string' && [agoMilliseconds, requestAgeMilliseconds].every(duration => Number.isFinite(duration) && Number(duration) >= 0)
}
