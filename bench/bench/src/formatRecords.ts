// Formats records as a text table.
import type { RunRecord } from './record.js'

const columns: Array<[string, (record: RunRecord) => string]> = [
  ['policy', ({ policy }) => policy],
  ['fault', ({ fault }) => fault],
  ['load', ({ load }) => String(load)],
  ['seed', ({ seed }) => String(seed)],
  ['sent', ({ requests }) => String(requests)],
  ['answered', ({ answered }) => String(answered)],
  ['not run', ({ refusedNotRun }) => String(refusedNotRun)],
  ['unknown', ({ unknownOutcome }) => String(unknownOutcome)],
  ['lost', ({ lostWithoutAccount }) => String(lostWithoutAccount)],
  ['twice', ({ ranTwice }) => String(ranTwice)],
  ['wrong', ({ wrongAnswer }) => String(wrongAnswer)],
  ['p50 ms', ({ p50Ms }) => p50Ms.toFixed(1)],
  ['p99 ms', ({ p99Ms }) => p99Ms.toFixed(1)],
  ['idem p99', ({ idempotentP99Ms }) => idempotentP99Ms.toFixed(1)],
  ['added p99', ({ addedP99Ms }) => addedP99Ms.toFixed(2)],
  ['probes/req', ({ probesPerRequest }) => probesPerRequest.toFixed(3)],
  ['over budget', ({ probeBudgetExceeded }) => String(probeBudgetExceeded)],
  ['idle cpu %', ({ controlCpuPercent }) => controlCpuPercent.toFixed(1)],
  ['MB', ({ residentMegabytes }) => residentMegabytes.toFixed(0)]
]

/** Formats records as a table with a header line and one line per record. */
export function formatRecords (records: RunRecord[]): string {
  const rows = [columns.map(([title]) => title), ...records.map(record => columns.map(([, read]) => read(record)))]
  const widths = columns.map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows.map(row => row.map((cell, column) => cell.padStart(widths[column] ?? 0)).join('  ') + '\n').join('')
}
