// Formats measurements and fits as text tables.
import { MeasurementUnit, type Fit, type BenchmarkRecord } from './benchmarkRecord.js'

const shortUnits: Record<MeasurementUnit, string> = { [MeasurementUnit.Microseconds]: 'us', [MeasurementUnit.Bytes]: 'B' }

/** Returns the measurements and the fits of a record as two tables. */
export function formatRecord ({ measurements, fits }: BenchmarkRecord): string {
  const measured = measurements.map(({ name, size, sizeUnit, unit, median, lowest, highest, deviation, repetitions }) =>
    [name, `${size} ${sizeUnit}`, shortUnits[unit], ...[median, lowest, highest, deviation].map(formatNumber), String(repetitions)])
  const fitted = fits.map(({ name, unit, sizeUnit, slope, slopeError, intercept, points }: Fit) =>
    [name, `${shortUnits[unit]} per ${sizeUnit}`, formatNumber(slope), slopeError === null ? '-' : formatNumber(slopeError), formatNumber(intercept), String(points)])
  return [
    ...alignColumns([['name', 'size', 'unit', 'median', 'lowest', 'highest', 'deviation', 'repetitions'], ...measured]),
    '',
    ...alignColumns([['least squares', 'slope in', 'slope', 'error', 'intercept', 'points'], ...fitted])
  ].join('\n') + '\n'
}

/** Formats a number with three significant digits, or as an integer from 1,000 on. */
export function formatNumber (value: number): string {
  if (Math.abs(value) >= 1_000) return String(Math.round(value))
  return String(Number(value.toPrecision(3)))
}

function alignColumns (rows: string[][]): string[] {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => (row[column] ?? '').length)))
  return rows.map(row => row.map((cell, column) => column < 2 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0)).join('  '))
}
