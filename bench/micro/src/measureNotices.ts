// Measures the check that every choice makes for each server, and the share of probes, by the number of servers that leave or pause.
import { createProbeShare, takeProbes } from '@siskinbeam/probe-share/probeShare'
import { createServerNotices, isServerAvailable, recordLeaving, recordPause } from '@siskinbeam/server-notices/serverNotices'
import { measureCost, type SamplingOptions } from './measureCost.js'
import { MeasurementName, type Measurement } from './benchmarkRecord.js'

const noticeCounts = [0, 20, 500, 4_000]
const serverCount = 200
const pauseMilliseconds = 60_000

/** Measures the check of one server, and the taking of one request's probes. */
export function measureNotices (sampling: SamplingOptions): Measurement[] {
  const checks = noticeCounts.map(size => {
    const notices = createServerNotices()
    Array.from({ length: size }, (_, index) => index % 2 === 0
      ? recordLeaving(notices, `i-${index}@1`)
      : recordPause(notices, { server: `i-${index}@1`, milliseconds: pauseMilliseconds, now: 0, random: () => 0 }))
    const servers = Array.from({ length: serverCount }, (_, index) => `i-${index * 7}@1`)
    let next = 0
    return measureCost({
      label: { name: MeasurementName.NoticeCheck, size, sizeUnit: 'servers with notices' },
      sampling,
      operation: () => {
        next = (next + 1) % serverCount
        return isServerAvailable(notices, servers[next] as string, 1)
      }
    })
  })
  const share = createProbeShare(0)
  let now = 0
  const taking = measureCost({
    label: { name: MeasurementName.ProbeShare, size: 1, sizeUnit: 'requests' },
    sampling,
    operation: () => {
      now += 1
      return takeProbes(share, { wanted: 3, perSecond: 80, now })
    }
  })
  return [...checks, taking]
}
