// Text format of the ORCA load report header `endpoint-load-metrics`:
// `TEXT named_metrics.in_flight=2, named_metrics.queued=1`. Unknown metrics are ignored, because servers may
// report more than is used here. A header without these two required metrics is not a valid report.
import type { LoadReport } from '@siskinbeam/probing/loadReport'

export const loadReportHeaderName = 'endpoint-load-metrics'
const textFormatPrefix = 'TEXT '
// A valid header is shorter; parsing a longer one would take too much time on the request path.
const maximumHeaderLength = 1_024
const maximumMetricValue = 1_000_000_000

const fieldByMetric: Record<string, keyof LoadReport> = {
  'named_metrics.in_flight': 'inFlight',
  'named_metrics.queued': 'queued',
  'named_metrics.slots': 'slots',
  'named_metrics.latency_milliseconds': 'latencyMilliseconds'
}

/** Parses the header. Returns undefined if it is missing, malformed or lacks a required metric. */
export function parseLoadReport (header: string | undefined): LoadReport | undefined {
  if (header === undefined || header.length > maximumHeaderLength || !header.startsWith(textFormatPrefix)) return undefined
  const fields: Partial<Record<keyof LoadReport, number>> = {}
  const wellFormed = header.slice(textFormatPrefix.length).split(',').every(part => {
    const [metric = '', value = ''] = part.split('=')
    const field = fieldByMetric[metric.trim()]
    if (field === undefined) return true
    const text = value.trim()
    const number = Number(text)
    fields[field] = number
    return text !== '' && number >= 0 && number <= maximumMetricValue
  })
  if (!wellFormed || fields.slots === 0) return undefined
  const { inFlight, queued, slots, latencyMilliseconds } = fields
  return inFlight === undefined || queued === undefined ? undefined : { inFlight, queued, slots, latencyMilliseconds }
}

/** Formats a report as a header value. */
export function formatLoadReport (report: LoadReport): string {
  return textFormatPrefix + Object.entries(fieldByMetric)
    .filter(([, field]) => report[field] !== undefined)
    .map(([metric, field]) => `${metric}=${report[field]}`)
    .join(', ')
}
