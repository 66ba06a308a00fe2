// The header `endpoint-load-metrics` of the ORCA load reports in their text form:
// `TEXT named_metrics.in_flight=2, named_metrics.queued=1`. Unknown metrics are skipped, since servers
// may report more than is used here; a header without the two required ones gives no report.
import type { LoadReport } from '@siskinbeam/probing/loadReport'

export const loadReportHeaderName = 'endpoint-load-metrics'
const format = 'TEXT '
// A longer value is not from a well-behaved server and would cost time on the request path.
const longestHeader = 1_024
const largestNumber = 1_000_000_000

const fieldOfMetric: Record<string, keyof LoadReport> = {
  'named_metrics.in_flight': 'inFlight',
  'named_metrics.queued': 'queued',
  'named_metrics.slots': 'slots',
  'named_metrics.latency_milliseconds': 'latencyMilliseconds'
}

/** Parses the header, or gives undefined if it is missing, malformed or lacks in-flight or queued. */
export function parseLoadReport (header: string | undefined): LoadReport | undefined {
  if (header === undefined || header.length > longestHeader || !header.startsWith(format)) return undefined
  const fields: Partial<Record<keyof LoadReport, number>> = {}
  const wellFormed = header.slice(format.length).split(',').every(part => {
    const [metric = '', value = ''] = part.split('=')
    const field = fieldOfMetric[metric.trim()]
    if (field === undefined) return true
    const text = value.trim()
    const number = Number(text)
    fields[field] = number
    return text !== '' && number >= 0 && number <= largestNumber
  })
  if (!wellFormed || fields.slots === 0) return undefined
  const { inFlight, queued, slots, latencyMilliseconds } = fields
  return inFlight === undefined || queued === undefined ? undefined : { inFlight, queued, slots, latencyMilliseconds }
}

/** Formats a report as a header value. */
export function formatLoadReport (report: LoadReport): string {
  return format + Object.entries(fieldOfMetric)
    .filter(([, field]) => report[field] !== undefined)
    .map(([metric, field]) => `${metric}=${report[field]}`)
    .join(', ')
}
